//! VMs: the project's program as separate processes.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;

use crate::link::Link;
use crate::record::Record;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/currantlb-platform";

pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    /// Link to the platform's store.
    pub store: Link,
    /// Link to the platform's promotion call.
    pub cloud: Link,
    log: PathBuf,
    process: Child,
    record: Arc<Record>,
}

impl Vm {
    /// Writes the settings as `deploy/settings.jsonc` does and starts the process.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        cloud: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let (store, cloud) = (Link::start(store)?, Link::start(cloud)?);
        let [caller, probe, metrics, peer] =
            [free_port()?, free_port()?, free_port()?, free_port()?];
        let settings = format!(
            r#"{{
    "vm": "{name}",
    "availability_zone": "{zone}",
    "cpu_share": 0.25,
    "caller_address": "127.0.0.1:{caller}",
    "probe_address": "127.0.0.1:{probe}",
    "metrics_address": "127.0.0.1:{metrics}",
    "vm_ip": "127.0.0.1",
    "peer_ports": [{peer},{peer}],
    "store_address": "{}",
    "promotion_address": "{}",
    "max_descriptors": 4200,
    "stop_within_s": 6
}}"#,
            store.address, cloud.address
        );
        let path = folder.join(format!("{name}.jsonc"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("CURRANTLB_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        Ok(Self {
            name: name.to_owned(),
            callers: SocketAddr::from(([127, 0, 0, 1], caller)),
            store,
            cloud,
            log,
            process,
            record: Arc::clone(record),
        })
    }

    pub fn process(&self) -> u32 {
        self.process.id()
    }

    /// Suspends the process.
    pub fn freeze(&self) -> Result<(), String> {
        self.record
            .note(format!("TROUBLE SIGSTOP to {}", self.name));
        self.signal("STOP")
    }

    /// Continues the process.
    pub fn thaw(&self) -> Result<(), String> {
        self.record
            .note(format!("TROUBLE SIGCONT to {}", self.name));
        self.signal("CONT")
    }

    /// Partitions the VM from the platform: its store and its promotion call.
    pub fn cut(&self) {
        self.record.note(format!(
            "TROUBLE {} is partitioned from the platform",
            self.name
        ));
        self.store.cut();
        self.cloud.cut();
    }

    pub fn heal(&self) {
        self.record
            .note(format!("TROUBLE the partition of {} heals", self.name));
        self.store.heal();
        self.cloud.heal();
    }

    /// Returns the lines of the VM's log about replacements of primaries.
    pub fn log_lines(&self) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let words = [
            "takeover",
            "duty_",
            "promotion_",
            "primary_recorded",
            "guard",
        ];
        let lines = text
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        lines
            .map(|line| format!("{} log: {line}", self.name))
            .collect()
    }

    fn signal(&self, signal: &str) -> Result<(), String> {
        let command = format!("kill -{signal} {}", self.process.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        match status {
            Ok(status) if status.success() => Ok(()),
            other => Err(format!("{command}: {other:?}")),
        }
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Returns a port that is free for TCP and UDP.
fn free_port() -> Result<u16, String> {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address.port());
        }
    }
    Err("no free port".to_owned())
}
