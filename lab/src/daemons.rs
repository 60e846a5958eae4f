//! VMs as processes of their own, started from files of [`crate::processes`].

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::processes::VmFiles;

/// Time that a stopping VM gets before it is ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Size of a page of memory, as the kernel counts resident memory.
const PAGE_BYTES: u64 = 4_096;

/// One VM that runs as a process; dropping it ends the process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of the VM.
    pub name: String,
    child: Child,
    homes: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// Returns where cargo puts the daemon beside a program that it built.
pub fn daemon_binary() -> Option<PathBuf> {
    let mut directory = std::env::current_exe().ok()?;
    directory.pop();
    if directory.ends_with("deps") {
        directory.pop();
    }
    let binary = directory.join("currantlb");
    binary.exists().then_some(binary)
}

impl DaemonProcess {
    /// Starts the daemon of a VM.
    ///
    /// # Errors
    ///
    /// Fails when the program can't be started.
    pub fn start(binary: &Path, vm: &VmFiles) -> std::io::Result<Self> {
        let mut child = Command::new(binary)
            .arg("--config")
            .arg(&vm.settings_file)
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let homes = Arc::new(Mutex::new(BTreeMap::new()));
        if let Some(stderr) = child.stderr.take() {
            let homes = Arc::clone(&homes);
            tokio::spawn(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    note_home(&homes, &line);
                }
            });
        }
        Ok(Self {
            name: vm.name.clone(),
            child,
            homes,
        })
    }

    /// Returns the epoch in which the VM became home of a database, 0 when it never did.
    pub fn home_epoch(&self, database: &str) -> u64 {
        let homes = self.homes.lock().expect("no holder panics");
        homes.get(database).copied().unwrap_or_default()
    }

    /// Returns the resident memory of the process.
    pub fn resident_bytes(&self) -> u64 {
        let read = || {
            let text = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id()?)).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        read().unwrap_or_default() * PAGE_BYTES
    }

    /// Asks the VM to stop, and waits; returns whether it ended well by itself.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be asked.
    pub async fn stop(mut self) -> std::io::Result<bool> {
        let Some(id) = self.child.id() else {
            return Ok(false);
        };
        Command::new("kill")
            .arg("-TERM")
            .arg(id.to_string())
            .status()
            .await?;
        let ended = tokio::time::timeout(STOP_TIMEOUT, self.child.wait()).await;
        Ok(ended.is_ok_and(|status| status.is_ok_and(|status| status.success())))
    }
}

/// Takes from a line of the log that the VM became the home of a database.
fn note_home(homes: &Mutex<BTreeMap<String, u64>>, line: &str) {
    let Some((_, fields)) = line.split_once("event=home_started ") else {
        return;
    };
    let field = |name: &str| {
        let mut words = fields.split(' ');
        words
            .find_map(|word| word.strip_prefix(name))
            .map(str::to_owned)
    };
    let (Some(database), Some(epoch)) = (field("database="), field("epoch=")) else {
        return;
    };
    homes
        .lock()
        .expect("no holder panics")
        .insert(database, epoch.parse().unwrap_or_default());
}
