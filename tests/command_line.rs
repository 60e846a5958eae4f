//! Runs the daemon's command line.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SAMPLE: &str = "docs/operators/currantlb.sample.jsonc";

fn currantlb(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_currantlb"))
        .args(arguments)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .output()
        .unwrap()
}

fn check(config: &Path) -> Output {
    currantlb(&["--config", config.to_str().unwrap(), "check"])
}

#[test]
fn the_sample_passes_the_check() {
    let output = check(Path::new(SAMPLE));
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text, format!("{SAMPLE}: the settings are valid\n"));
}

#[test]
fn a_bad_file_exits_with_2_and_names_every_mistake() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("bad.jsonc");
    let sample = std::fs::read_to_string(SAMPLE).unwrap();
    let bad = sample
        .replace("\"login_timeout_ms\": 5000", "\"login_timeout\": 5000")
        .replace("\"max_opening\": 2", "\"max_opening\": \"two\"");
    std::fs::write(&path, bad).unwrap();

    let output = check(&path);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    let path = path.to_str().unwrap();
    for (line, field) in lines
        .iter()
        .zip(["callers.login_timeout", "databases.max_opening"])
    {
        assert!(line.starts_with(&format!("{path}: line ")), "{line}");
        assert!(line.contains(field), "{line}");
    }
}

#[test]
fn a_missing_file_exits_with_2() {
    let path = PathBuf::from("no-such-file.jsonc");
    let output = check(&path);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("check its path")
    );
}

#[test]
fn the_version_is_printed() {
    let output = currantlb(&["--version"]);
    assert_eq!(output.status.code(), Some(0));
    let expected = format!("currantlb {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
}
