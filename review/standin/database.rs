//! One database of several instances: a primary and its replicas, with `sync-replicas` 1.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::platform::Store;
use crate::record::Record;

/// Name of the service.
pub const SERVICE: &str = "db";

/// Interval at which instances write to the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time from the promotion call until the instance leads.
const PROMOTE_TIME: Duration = Duration::from_millis(600);

/// Time after which an old primary that still leads follows the new one, which it can reach.
const OLD_PRIMARY_TIME: Duration = Duration::from_secs(1);

/// Time that a read or a write takes.
const WORK_TIME: Duration = Duration::from_millis(4);

/// Interval at which replicas receive commits.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(1);

/// Longest wait of a commit for a replica.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(10);

struct Instance {
    address: SocketAddr,
    born_ms: u128,
    seq: u64,
    is_alive: bool,
    is_draining: bool,
    is_primary: bool,
    term: u64,
    /// Term of the `PAUSE` that holds the instance; 0 if none does.
    held: u64,
    /// Identifiers of the committed statements.
    log: Vec<String>,
    streams: Vec<TcpStream>,
    crashed_at: Option<Instant>,
}

pub struct Database {
    instances: Mutex<BTreeMap<String, Instance>>,
    /// Identifiers and texts of the statements that callers of an instance have sent.
    requests: Mutex<Vec<(String, String)>>,
    /// Commits that were acknowledged to a caller of an instance, with the time.
    acknowledged: Mutex<Vec<(Instant, String)>>,
    /// Promotions that have taken effect: the time, the instance and its commits.
    promotions: Mutex<Vec<(Instant, String, Vec<String>)>>,
    /// Process and instance whose connections have fallen silent.
    cut: Mutex<Option<(u32, String)>>,
    /// Processes of the VMs.
    processes: Mutex<Vec<u32>>,
    store: Mutex<Option<Arc<Store>>>,
    record: Arc<Record>,
}

impl Database {
    /// Starts the instances; the first one is the primary.
    pub fn start(names: &[&str], record: Arc<Record>) -> Result<Arc<Self>, String> {
        let database = Arc::new(Self {
            instances: Mutex::default(),
            requests: Mutex::default(),
            acknowledged: Mutex::default(),
            promotions: Mutex::default(),
            cut: Mutex::default(),
            processes: Mutex::default(),
            store: Mutex::new(None),
            record,
        });
        for (index, name) in names.iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
            let address = listener.local_addr().map_err(|error| error.to_string())?;
            let instance = Instance {
                address,
                born_ms: now_ms(),
                seq: 0,
                is_alive: true,
                is_draining: false,
                is_primary: index == 0,
                term: 1,
                held: 0,
                log: Vec::new(),
                streams: Vec::new(),
                crashed_at: None,
            };
            let mut instances = database.instances.lock().unwrap();
            instances.insert((*name).to_owned(), instance);
            drop(instances);
            database.accept((*name).to_owned(), listener);
        }
        let replicating = Arc::clone(&database);
        thread::spawn(move || {
            loop {
                thread::sleep(REPLICATION_INTERVAL);
                replicating.replicate();
            }
        });
        Ok(database)
    }

    /// Registers the instances in the store and keeps their entries.
    pub fn register(self: &Arc<Self>, store: &Arc<Store>) {
        *self.store.lock().unwrap() = Some(Arc::clone(store));
        self.write_entries();
        let database = Arc::clone(self);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                database.write_entries();
            }
        });
    }

    /// Writes the entries of the instances that run, and removes those of the silent ones after
    /// three intervals.
    fn write_entries(&self) {
        let Some(store) = self.store.lock().unwrap().clone() else {
            return;
        };
        let mut instances = self.instances.lock().unwrap();
        let zones = ["bagmati-a", "bagmati-b", "bagmati-c"];
        for (index, (name, instance)) in instances.iter_mut().enumerate() {
            let key = format!("servers/{name}");
            if !instance.is_alive {
                let is_silent = |at: &Instant| at.elapsed() >= 3 * HEARTBEAT;
                if instance.crashed_at.as_ref().is_some_and(is_silent) {
                    store.delete(&key);
                }
                continue;
            }
            instance.seq += 1;
            let role = role(instance);
            let state = if instance.is_draining {
                "draining"
            } else {
                "ready"
            };
            let value = format!(
                r#"{{"service":"{SERVICE}","addr":"{}","zone":"{}","version":"v1","slots":2,"state":"{state}","cold-left-ms":0,"db-role":"{role}","born":{},"seq":{}}}"#,
                instance.address,
                zones[index % zones.len()],
                instance.born_ms,
                instance.seq
            );
            store.put(&key, &value);
        }
    }

    pub fn primary(&self) -> Option<String> {
        let instances = self.instances.lock().unwrap();
        let mut leading: Vec<_> = instances
            .iter()
            .filter(|(_, instance)| instance.is_alive && instance.is_primary)
            .collect();
        leading.sort_by_key(|(_, instance)| instance.term);
        leading.last().map(|(name, _)| (*name).clone())
    }

    /// Starts another instance, which gets the log and follows the primary.
    pub fn join(self: &Arc<Self>, name: &str) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let mut instances = self.instances.lock().unwrap();
        let leading = instances
            .values()
            .filter(|one| one.is_alive && one.is_primary);
        let leader = leading.max_by_key(|one| one.term).ok_or("no primary")?;
        let instance = Instance {
            address,
            born_ms: now_ms(),
            seq: 0,
            is_alive: true,
            is_draining: false,
            is_primary: false,
            term: leader.term,
            held: 0,
            log: leader.log.clone(),
            streams: Vec::new(),
            crashed_at: None,
        };
        instances.insert(name.to_owned(), instance);
        drop(instances);
        self.record
            .note(format!("instance {name} joins and follows the primary"));
        self.accept(name.to_owned(), listener);
        self.write_entries();
        Ok(())
    }

    /// Makes an instance report that it leaves; it goes on serving.
    pub fn drain(&self, name: &str) {
        self.record
            .note(format!("instance {name} reports draining"));
        if let Some(instance) = self.instances.lock().unwrap().get_mut(name) {
            instance.is_draining = true;
        }
        self.write_entries();
    }

    /// Names the processes of the VMs.
    pub fn set_processes(&self, processes: Vec<u32>) {
        *self.processes.lock().unwrap() = processes;
    }

    /// Partitions an instance from one process: nothing passes between them until it heals.
    pub fn cut(&self, process: u32, name: &str) {
        *self.cut.lock().unwrap() = Some((process, name.to_owned()));
    }

    pub fn heal(&self) {
        *self.cut.lock().unwrap() = None;
    }

    /// Returns the commits that were acknowledged before a promotion and that the promoted
    /// instance lacked.
    pub fn lost(&self) -> Vec<(String, String)> {
        let acknowledged = self.acknowledged.lock().unwrap();
        let promotions = self.promotions.lock().unwrap();
        let mut lost = Vec::new();
        for (at, name, log) in promotions.iter() {
            let before = acknowledged.iter().filter(|(time, _)| time < at);
            let missing = before.filter(|(_, id)| !log.contains(id));
            lost.extend(missing.map(|(_, id)| (id.clone(), name.clone())));
        }
        lost
    }

    /// Returns the process of the VM that has opened a connection.
    fn process_of(&self, stream: &TcpStream) -> Option<u32> {
        let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
        let hex = |address: SocketAddr| format!("0100007F:{:04X}", address.port());
        let (local, remote) = (
            hex(stream.peer_addr().ok()?),
            hex(stream.local_addr().ok()?),
        );
        let line = table.lines().find(|line| {
            let mut fields = line.split_whitespace().skip(1);
            fields.next() == Some(&local) && fields.next() == Some(&remote)
        })?;
        let socket = format!("socket:[{}]", line.split_whitespace().nth(9)?);
        let processes = self.processes.lock().unwrap();
        let owns = |process: &&u32| {
            let files = std::fs::read_dir(format!("/proc/{process}/fd"));
            files.is_ok_and(|mut files| {
                files.any(|file| {
                    let target = file.and_then(|file| std::fs::read_link(file.path()));
                    target.is_ok_and(|target| target.as_os_str() == socket.as_str())
                })
            })
        };
        processes.iter().find(owns).copied()
    }

    /// Waits while an instance is partitioned from a process.
    fn wait_for_path(&self, process: Option<u32>, name: &str) {
        let is_cut = || {
            let cut = self.cut.lock().unwrap();
            cut.as_ref()
                .is_some_and(|(cut, instance)| Some(*cut) == process && instance == name)
        };
        while is_cut() {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns the identifiers and texts of the statements that the instances were sent.
    pub fn requests(&self) -> Vec<(String, String)> {
        self.requests.lock().unwrap().clone()
    }

    /// Crashes an instance: its connections break and its port refuses.
    pub fn crash(&self, name: &str) {
        self.record.note(format!("TROUBLE instance {name} crashes"));
        let mut instances = self.instances.lock().unwrap();
        let Some(instance) = instances.get_mut(name) else {
            return;
        };
        instance.is_alive = false;
        instance.crashed_at = Some(Instant::now());
        for stream in instance.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a crashed instance again with its log, as a replica if another one leads.
    pub fn restart(self: &Arc<Self>, name: &str) -> Result<(), String> {
        let mut instances = self.instances.lock().unwrap();
        let newest = instances.values().map(|one| one.term).max().unwrap_or(1);
        let instance = instances.get_mut(name).ok_or("no such instance")?;
        instance.is_primary &= instance.term == newest;
        instance.is_alive = true;
        instance.held = 0;
        instance.crashed_at = None;
        instance.born_ms = now_ms();
        instance.seq = 0;
        let listener = TcpListener::bind(instance.address).map_err(|error| error.to_string())?;
        drop(instances);
        self.record.note(format!("instance {name} runs again"));
        self.accept(name.to_owned(), listener);
        self.write_entries();
        Ok(())
    }

    /// Makes an instance the primary after a while, as the platform's call does. Returns whether
    /// the instance runs.
    pub fn promote(self: &Arc<Self>, name: &str) -> bool {
        let instances = self.instances.lock().unwrap();
        let newest = instances.values().map(|one| one.term).max().unwrap_or(1);
        let Some(instance) = instances.get(name).filter(|one| one.is_alive) else {
            return false;
        };
        if instance.is_primary && instance.term == newest {
            return true;
        }
        drop(instances);
        let (database, name) = (Arc::clone(self), name.to_owned());
        thread::spawn(move || {
            thread::sleep(PROMOTE_TIME);
            database.lead(&name);
        });
        true
    }

    fn lead(self: &Arc<Self>, name: &str) {
        let mut instances = self.instances.lock().unwrap();
        let term = instances.values().map(|one| one.term).max().unwrap_or(1) + 1;
        let Some(leader) = instances.get_mut(name).filter(|one| one.is_alive) else {
            return;
        };
        leader.is_primary = true;
        leader.term = term;
        leader.held = 0;
        let log = leader.log.clone();
        let acknowledged = self.acknowledged.lock().unwrap();
        let lost: Vec<_> = acknowledged
            .iter()
            .map(|(_, id)| id)
            .filter(|id| !log.contains(id))
            .collect();
        let promotion = (Instant::now(), name.to_owned(), log.clone());
        self.promotions.lock().unwrap().push(promotion);
        self.record.note(format!(
            "database: {name} leads term {term} with {} commits; acknowledged commits that it lacks: {lost:?}",
            log.len()
        ));
        for (other, instance) in instances.iter_mut() {
            instance.held = 0;
            if other != name && instance.is_primary {
                let (database, other) = (Arc::clone(self), other.clone());
                thread::spawn(move || {
                    thread::sleep(OLD_PRIMARY_TIME);
                    database.step_down(&other, term);
                });
            }
        }
        drop(acknowledged);
        drop(instances);
        self.write_entries();
    }

    fn step_down(&self, name: &str, term: u64) {
        let mut instances = self.instances.lock().unwrap();
        if let Some(instance) = instances.get_mut(name).filter(|one| one.term < term) {
            instance.is_primary = false;
            self.record.note(format!(
                "database: {name} follows the primary of term {term}"
            ));
        }
        drop(instances);
        self.write_entries();
    }

    /// Sends the log of the newest primary to the replicas that receive.
    fn replicate(&self) {
        let mut instances = self.instances.lock().unwrap();
        let leading = instances
            .values()
            .filter(|one| one.is_alive && one.is_primary)
            .max_by_key(|one| one.term);
        let Some((term, log)) = leading.map(|leader| (leader.term, leader.log.clone())) else {
            return;
        };
        for instance in instances.values_mut() {
            let receives = instance.is_alive && !instance.is_primary && instance.held == 0;
            if receives && (instance.term < term || instance.log.len() < log.len()) {
                instance.term = term;
                instance.log.clone_from(&log);
            }
        }
    }

    fn accept(self: &Arc<Self>, name: String, listener: TcpListener) {
        let database = Arc::clone(self);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while database.is_alive(&name) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let (Ok(kept), Some(instance)) = (
                    stream.try_clone(),
                    database.instances.lock().unwrap().get_mut(&name),
                ) {
                    instance.streams.push(kept);
                }
                let (database, name) = (Arc::clone(&database), name.clone());
                thread::spawn(move || Session::new(database, name).serve(stream));
            }
        });
    }

    fn is_alive(&self, name: &str) -> bool {
        let instances = self.instances.lock().unwrap();
        instances.get(name).is_some_and(|one| one.is_alive)
    }

    /// Appends a commit at an instance and waits until a replica has received it.
    fn commit(&self, name: &str, id: &str) -> Result<(), &'static str> {
        let index = {
            let mut instances = self.instances.lock().unwrap();
            let instance = instances.get_mut(name).ok_or("FAILED")?;
            if !instance.is_primary {
                return Err("READONLY");
            }
            instance.log.push(id.to_owned());
            instance.log.len()
        };
        let end = Instant::now() + COMMIT_TIMEOUT;
        while Instant::now() < end {
            thread::sleep(REPLICATION_INTERVAL);
            let instances = self.instances.lock().unwrap();
            let kept = instances.get(name).is_some_and(|one| {
                one.is_alive && one.is_primary && one.log.get(index - 1).is_some_and(|at| at == id)
            });
            if !kept {
                return Err("UNKNOWN");
            }
            let received = instances.iter().any(|(other, one)| {
                other != name && one.is_alive && one.log.get(index - 1).is_some_and(|at| at == id)
            });
            if received {
                let acknowledged = (Instant::now(), id.to_owned());
                self.acknowledged.lock().unwrap().push(acknowledged);
                return Ok(());
            }
        }
        Err("TIMEOUT")
    }
}

fn role(instance: &Instance) -> &'static str {
    if instance.is_primary {
        "primary"
    } else {
        "replica"
    }
}

fn now_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}

/// Connection to one instance.
struct Session {
    database: Arc<Database>,
    instance: String,
    prepared: HashMap<String, String>,
    open: Option<Vec<String>>,
}

impl Session {
    fn new(database: Arc<Database>, instance: String) -> Self {
        Self {
            database,
            instance,
            prepared: HashMap::new(),
            open: None,
        }
    }

    fn serve(mut self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let process = self.database.process_of(reader.get_ref());
        while let Some(line) = read_message(&mut reader) {
            self.database.wait_for_path(process, &self.instance);
            let response = self.respond(&line);
            self.database.wait_for_path(process, &self.instance);
            let Some(response) = response else { break };
            if !self.database.is_alive(&self.instance)
                || writer.write_all(response.as_bytes()).is_err()
            {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn respond(&mut self, line: &str) -> Option<String> {
        if let Some(rest) = line.strip_prefix("START ") {
            let mut fields = rest.split(' ');
            let is_right = fields.next() == Some(SERVICE)
                && fields.nth(1).is_none_or(|id| id == self.instance);
            if !is_right {
                return Some(format!("ERR MISROUTED {}\r\n", self.instance));
            }
            return Some(self.ready());
        }
        let (id, text) = line.strip_prefix("QUERY ")?.split_once(' ')?;
        let result = match self.run(id, text) {
            Ok(rows) => rows,
            Err(code) => format!("ERR {code} {}\r\n", self.instance),
        };
        if id != "-" {
            let request = (id.to_owned(), text.to_owned());
            self.database.requests.lock().unwrap().push(request);
            let answer = result.lines().last().unwrap_or_default();
            self.database.record.note(format!(
                "instance {}: {id} {text} -> {answer}",
                self.instance
            ));
        }
        Some(result + &self.ready())
    }

    fn run(&mut self, id: &str, text: &str) -> Result<String, &'static str> {
        let (after, text) = match text.strip_prefix("AFTER ") {
            Some(rest) => {
                let (position, text) = rest.split_once(' ').ok_or("BADMSG")?;
                (Some(parse_position(position)), text)
            }
            None => (None, text),
        };
        let (term, length, is_primary) = {
            let instances = self.database.instances.lock().unwrap();
            let instance = &instances[&self.instance];
            (instance.term, instance.log.len(), instance.is_primary)
        };
        if after.is_some_and(|after| after > (term, length)) {
            return Err("LAGGING");
        }
        let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
        match word {
            "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => return self.control(word, rest),
            "SET" | "DEALLOC" => {}
            "RESET" => self.prepared.clear(),
            "PREPARE" => {
                let (name, shape) = rest.split_once(' ').ok_or("BADMSG")?;
                self.prepared.insert(name.to_owned(), shape.to_owned());
            }
            "BEGIN" if rest.is_empty() && !is_primary => return Err("READONLY"),
            "BEGIN" => self.open = Some(Vec::new()),
            "ROLLBACK" => self.open = None,
            _ => return self.execute(id, word, rest, is_primary),
        }
        Ok("DONE -\r\n".to_owned())
    }

    fn execute(
        &mut self,
        id: &str,
        word: &str,
        rest: &str,
        is_primary: bool,
    ) -> Result<String, &'static str> {
        let word = match word {
            "EXEC" => {
                let name = rest.split(' ').next().unwrap_or_default();
                let shape = self.prepared.get(name).ok_or("NOSTMT")?;
                shape.split(' ').next().unwrap_or_default().to_owned()
            }
            word => word.to_owned(),
        };
        thread::sleep(WORK_TIME);
        let done = format!("DONE sig-{}-{id}\r\n", self.instance);
        match word.as_str() {
            "READ" => Ok(format!("ROW data\r\n{done}")),
            "WRITE" if !is_primary => Err("READONLY"),
            "WRITE" => match &mut self.open {
                Some(open) => {
                    open.push(id.to_owned());
                    Ok(done)
                }
                None => self.database.commit(&self.instance, id).map(|()| done),
            },
            "COMMIT" => {
                let open = self.open.take().ok_or("BADMSG")?;
                if !open.is_empty() {
                    self.database.commit(&self.instance, id)?;
                }
                Ok(done)
            }
            _ => Err("BADMSG"),
        }
    }

    fn control(&self, word: &str, rest: &str) -> Result<String, &'static str> {
        let term: u64 = rest.parse().unwrap_or(0);
        let mut instances = self.database.instances.lock().unwrap();
        let instance = instances.get_mut(&self.instance).ok_or("FAILED")?;
        match word {
            "PAUSE" if instance.is_primary || term <= instance.term => return Err("BADMSG"),
            "PAUSE" => instance.held = term,
            "RESUME" => instance.held = 0,
            "DEMOTE" if instance.is_primary && instance.term < term => instance.is_primary = false,
            _ => {}
        }
        let (role, length) = (role(instance), instance.log.len());
        let row = format!(
            "ROW {role} {term} {term}.{length} {} 0 0 1\r\nDONE -\r\n",
            instance.held,
            term = instance.term
        );
        drop(instances);
        if word != "STATUS" {
            self.database.record.note(format!(
                "instance {}: {word} {rest} -> {}",
                self.instance,
                row.lines().next().unwrap_or_default()
            ));
        }
        Ok(row)
    }

    fn ready(&self) -> String {
        let instances = self.database.instances.lock().unwrap();
        let instance = &instances[&self.instance];
        let state = if self.open.is_some() { "T" } else { "I" };
        format!("READY {state} {}.{}\r\n", instance.term, instance.log.len())
    }
}

/// Reads a message, which CR LF ends; `None` when the connection has ended.
fn read_message(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        if reader.read_until(b'\n', &mut line).ok()? == 0 {
            return None;
        }
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).ok()
}

fn parse_position(text: &str) -> (u64, usize) {
    let (term, number) = text.split_once('.').unwrap_or(("0", "0"));
    (term.parse().unwrap_or(0), number.parse().unwrap_or(0))
}
