//! What was sent, answered and run, with the seconds since the start.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let seconds = self.start.elapsed().as_secs_f64();
        let line = format!("{seconds:9.4} {}", line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Adds lines that are not timed by this record, such as those of a VM's log.
    pub fn append(&self, lines: impl IntoIterator<Item = String>) {
        self.lines.lock().unwrap().extend(lines);
    }

    pub fn write(&self, folder: &Path) -> Result<(), String> {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(folder.join("record.txt"), text).map_err(|error| error.to_string())
    }
}
