//! VMs as separate processes, started from the files that [`crate::processes`] writes.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::{Child, Command};

use crate::processes::VmFiles;

/// Time that a VM has to shut down after SIGTERM; [`DaemonProcess::stop`] kills it after that.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Page size in bytes, the unit in which the kernel reports resident memory.
const PAGE_BYTES: u64 = 4_096;

/// One VM that runs as a process; the process is killed when this is dropped.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Name of the VM.
    pub name: String,
    child: Child,
    home_epochs: Arc<Mutex<BTreeMap<String, u64>>>,
}

/// Returns the path of the daemon that cargo built next to the running program; `None` if there
/// is none.
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
    /// Starts the daemon of a VM from its settings file.
    ///
    /// # Errors
    ///
    /// Fails when the process can't be started.
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
        let home_epochs = Arc::new(Mutex::new(BTreeMap::new()));
        if let Some(stderr) = child.stderr.take() {
            let home_epochs = Arc::clone(&home_epochs);
            tokio::spawn(async move {
                let mut lines = BufReader::new(stderr).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    record_home_epoch(&home_epochs, &line);
                }
            });
        }
        Ok(Self {
            name: vm.name.clone(),
            child,
            home_epochs,
        })
    }

    /// Returns the latest epoch in which the VM became home of a database, 0 if it never did.
    pub fn home_epoch(&self, database: &str) -> u64 {
        let home_epochs = self
            .home_epochs
            .lock()
            .expect("no code panics while it holds the lock");
        home_epochs.get(database).copied().unwrap_or_default()
    }

    /// Returns the resident memory of the process in bytes, 0 when it can't be read.
    pub fn resident_bytes(&self) -> u64 {
        let read = || {
            let text = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id()?)).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok()
        };
        read().unwrap_or_default() * PAGE_BYTES
    }

    /// Sends SIGTERM to the VM and waits for it; returns whether it exited with status 0 in time.
    ///
    /// # Errors
    ///
    /// Fails when the `kill` command can't be run.
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

/// Records the epoch from a log line which says that the VM became home of a database.
fn record_home_epoch(home_epochs: &Mutex<BTreeMap<String, u64>>, line: &str) {
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
    home_epochs
        .lock()
        .expect("no code panics while it holds the lock")
        .insert(database, epoch.parse().unwrap_or_default());
}
