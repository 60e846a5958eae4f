//! Stand-ins of a small deployment: the platform's store and promotion call, database instances, callers and the
//! operator, with a record of what was sent, answered and run. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- random numbers

pub struct Rng(u64);
impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ 0xD1B5_4A32_D192_ED03)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }
    pub fn below(&mut self, n: u64) -> u64 {
        (self.next() >> 33) % n.max(1)
    }
    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}
impl Json {
    pub fn parse(text: &str) -> Json {
        let b: Vec<char> = text.chars().collect();
        let mut i = 0;
        Self::value(&b, &mut i)
    }
    fn ws(b: &[char], i: &mut usize) {
        while *i < b.len() && b[*i].is_whitespace() {
            *i += 1;
        }
    }
    fn value(b: &[char], i: &mut usize) -> Json {
        Self::ws(b, i);
        match b.get(*i) {
            Some('{') => {
                *i += 1;
                let mut fields = Vec::new();
                loop {
                    Self::ws(b, i);
                    if b.get(*i) == Some(&'}') {
                        *i += 1;
                        return Json::Obj(fields);
                    }
                    if b.get(*i) == Some(&',') {
                        *i += 1;
                        continue;
                    }
                    let Json::Str(key) = Self::value(b, i) else { return Json::Obj(fields) };
                    Self::ws(b, i);
                    *i += 1;
                    fields.push((key, Self::value(b, i)));
                }
            }
            Some('[') => {
                *i += 1;
                let mut items = Vec::new();
                loop {
                    Self::ws(b, i);
                    match b.get(*i) {
                        Some(']') => {
                            *i += 1;
                            return Json::Arr(items);
                        }
                        Some(',') => *i += 1,
                        None => return Json::Arr(items),
                        _ => items.push(Self::value(b, i)),
                    }
                }
            }
            Some('"') => {
                *i += 1;
                let mut s = String::new();
                while *i < b.len() && b[*i] != '"' {
                    if b[*i] == '\\' {
                        *i += 1;
                        match b[*i] {
                            'n' => s.push('\n'),
                            't' => s.push('\t'),
                            'r' => s.push('\r'),
                            'u' => {
                                let hex: String = b[*i + 1..*i + 5].iter().collect();
                                s.push(char::from_u32(u32::from_str_radix(&hex, 16).unwrap()).unwrap_or('?'));
                                *i += 4;
                            }
                            c => s.push(c),
                        }
                    } else {
                        s.push(b[*i]);
                    }
                    *i += 1;
                }
                *i += 1;
                Json::Str(s)
            }
            Some(c) if c.is_alphabetic() => {
                let mut word = String::new();
                while *i < b.len() && b[*i].is_alphabetic() {
                    word.push(b[*i]);
                    *i += 1;
                }
                match &*word {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    _ => Json::Null,
                }
            }
            _ => {
                let start = *i;
                while *i < b.len() && "+-0123456789.eE".contains(b[*i]) {
                    *i += 1;
                }
                if *i == start {
                    *i += 1;
                }
                let s: String = b[start..(*i).min(b.len())].iter().collect();
                Json::Num(s.parse().unwrap_or(0.0))
            }
        }
    }
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }
    pub fn str(&self, key: &str) -> String {
        match self.get(key) {
            Some(Json::Str(s)) => s.clone(),
            _ => String::new(),
        }
    }
    pub fn num(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Json::Num(n)) => *n as u64,
            _ => 0,
        }
    }
    pub fn arr(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Json::Arr(a)) => a.clone(),
            _ => Vec::new(),
        }
    }
}

pub fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn base64(bytes: &[u8]) -> String {
    const T: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for k in 0..4 {
            if k <= chunk.len() {
                out.push(T[(n >> (18 - 6 * k)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

pub struct Http {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

fn unescape(s: &str) -> String {
    let b = s.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() + 0 {
            out.push(u8::from_str_radix(&s[i + 1..i + 3], 16).unwrap_or(b'?'));
            i += 3;
        } else {
            out.push(b[i]);
            i += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_http(r: &mut BufReader<TcpStream>) -> Option<Http> {
    let mut line = String::new();
    if r.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut headers = HashMap::new();
    loop {
        let mut h = String::new();
        if r.read_line(&mut h).ok()? == 0 {
            return None;
        }
        let h = h.trim_end();
        if h.is_empty() {
            break;
        }
        let (k, v) = h.split_once(':')?;
        headers.insert(k.to_ascii_lowercase(), v.trim().to_owned());
    }
    let len: usize = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; len];
    r.read_exact(&mut body).ok()?;
    let (path, q) = target.split_once('?').unwrap_or((&target, ""));
    let query = q
        .split('&')
        .filter_map(|p| p.split_once('='))
        .map(|(k, v)| (k.to_owned(), unescape(v)))
        .collect();
    Some(Http {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

// ---------------------------------------------------------------- the world

pub type W = Arc<World>;

#[derive(Clone, Debug, PartialEq)]
pub enum StoreMode {
    Up,
    Busy,
    Reset,
    Silent,
}

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct StoreContent {
    items: BTreeMap<String, Item>,
    /// (revision, key, value or none)
    history: Vec<(u64, String, Option<String>)>,
    rev: u64,
    leases: HashMap<u64, (u64, Instant)>,
    last_lease: u64,
    compacted: u64,
}

pub struct Store {
    content: Mutex<StoreContent>,
    changed: Condvar,
    pub era: AtomicU64,
    pub mode: Mutex<StoreMode>,
    /// Share of write calls, in percent, that are done and not answered.
    pub lost_percent: AtomicU64,
    pub slow_ms: AtomicU64,
    /// For each VM, how the store treats it.
    pub vm_mode: Mutex<Vec<StoreMode>>,
    /// Number of the present connections' generation: watches of an earlier one are cut.
    cuts: AtomicU64,
    pub calls: AtomicU64,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub term: u64,
    pub id: String,
    pub commit: u64,
    pub items: Vec<(String, String)>,
}

pub struct Inst {
    /// VMs that can't reach it.
    pub cut_vms: BTreeSet<usize>,
    pub id: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub alive: bool,
    pub draining: bool,
    pub primary: bool,
    /// Term of its log.
    pub term: u64,
    /// Newest term that it knows.
    pub newest: u64,
    pub paused: u64,
    pub log: Vec<Arc<Entry>>,
    pub has: HashSet<u64>,
    pub born: u64,
    pub seq: u64,
    pub stop: Arc<AtomicBool>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    /// No answer to anything.
    pub dark: bool,
    /// Receives nothing.
    pub deaf: bool,
    /// Other instances that it can't reach.
    pub cut_from: BTreeSet<String>,
    pub announces: bool,
    pub demote_at: Option<Instant>,
    pub conns: usize,
    pub lose_answers: u64,
}

pub struct Db {
    pub service: String,
    pub insts: BTreeMap<String, Inst>,
    pub promote_to: Vec<(Instant, String)>,
    pub promoted: Vec<(Instant, String, u64)>,
    pub fences: Vec<(u64, String)>,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Kind {
    Primary,
    Bounded,
    Session,
}

/// What was sent by a caller.
#[derive(Clone)]
pub struct Sent {
    pub text: String,
    pub at: Instant,
    /// First byte of the read or of its transaction.
    pub first: Instant,
    pub tenant: String,
    pub kind: Kind,
    pub session: u64,
    pub op: u64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Outcome {
    Acked,
    Promise,
    Unknown,
}

#[derive(Default)]
pub struct Truth {
    pub sent: HashMap<String, Sent>,
    /// Acknowledged commits: time, commit number, session.
    pub acked: Vec<(Instant, u64, u64)>,
    /// Commit number by statement id.
    pub commits: HashMap<String, Vec<u64>>,
    pub commit_at: HashMap<u64, (Instant, String)>,
    /// Instance and term in which each commit was made.
    pub made: HashMap<u64, (String, u64)>,
    /// Promotions: when each took effect, instance and term.
    pub led: Vec<(Instant, String, u64)>,
    pub rolled_back: HashSet<u64>,
    pub outcomes: HashMap<String, Outcome>,
    pub runs: Vec<(Instant, String, String)>,
    pub op_runs: HashMap<u64, (Instant, Instant, String)>,
    pub broken: Vec<String>,
    pub served: Vec<(Instant, Kind, bool)>,
}

pub struct World {
    pub start: Instant,
    pub record: Mutex<File>,
    pub store: Store,
    pub db: Mutex<Db>,
    pub db_changed: Condvar,
    pub truth: Mutex<Truth>,
    pub next: AtomicU64,
    pub vms: Mutex<Vec<Vm>>,
    pub end: AtomicBool,
    pub promote_ms: u64,
    pub lag_ms: AtomicU64,
    pub stale_bounded_ms: u64,
    pub stale_session_ms: u64,
    pub work_ms: AtomicU64,
    pub cloud_mode: Mutex<StoreMode>,
    pub config: Mutex<String>,
    pub folder: String,
    pub cloud_addr: Mutex<Option<SocketAddr>>,
    pub judge: AtomicBool,
    pub statement_log: AtomicBool,
    pub session_seq: AtomicU64,
    /// Addresses of each instance, one for each VM.
    pub addresses: Mutex<HashMap<String, Vec<SocketAddr>>>,
    pub hooks: Mutex<Vec<(String, Box<dyn FnOnce(W, String) + Send>)>>,
}

/// Runs what waits for an event, once.
pub fn fire(w: &W, event: &str, detail: &str) {
    let mut hooks = w.hooks.lock().unwrap();
    let Some(k) = hooks.iter().position(|(e, _)| e == event) else { return };
    let (_, hook) = hooks.remove(k);
    drop(hooks);
    let (w, detail) = (w.clone(), detail.to_owned());
    note(&w, &format!("event {event} {detail}"));
    spawn(move || hook(w, detail));
}

pub fn unbase64(s: &str) -> String {
    let mut bits = 0_u32;
    let mut n = 0;
    let mut out = Vec::new();
    for c in s.bytes() {
        let v = match c {
            b'A'..=b'Z' => c - b'A',
            b'a'..=b'z' => c - b'a' + 26,
            b'0'..=b'9' => c - b'0' + 52,
            b'+' => 62,
            b'/' => 63,
            _ => continue,
        };
        bits = (bits << 6) | u32::from(v);
        n += 6;
        if n >= 8 {
            n -= 8;
            out.push((bits >> n) as u8);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn note(w: &W, text: &str) {
    let at = w.start.elapsed().as_millis();
    let mut f = w.record.lock().unwrap();
    let _ = writeln!(f, "{:7} ms  {text}", at);
}

pub fn broken(w: &W, truth: &mut Truth, text: String) {
    if truth.broken.len() < 200 {
        let at = w.start.elapsed().as_millis();
        truth.broken.push(format!("{at} ms {text}"));
    }
}

// ---------------------------------------------------------------- store

impl StoreContent {
    fn put(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.rev += 1;
        let rev = self.rev;
        match &value {
            Some(v) => {
                let created = self.items.get(key).map_or(rev, |i| i.created);
                let item = Item { value: v.clone(), rev, created, lease };
                self.items.insert(key.to_owned(), item);
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push((rev, key.to_owned(), value));
    }
    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        if lease > 0 {
            for key in keys {
                self.put(&key, None, 0);
            }
        }
        known
    }
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(l, _)| *l).collect();
        for lease in &over {
            self.end_lease(*lease);
        }
        !over.is_empty()
    }
    fn item(key: &str, i: &Item) -> String {
        Self::shown(key, i, &i.value)
    }
    fn shown(key: &str, i: &Item, value: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
            quote(key), value, i.rev, i.created, i.lease
        )
    }
}

pub struct Copy(StoreContent);

impl Store {
    pub fn new() -> Self {
        let mut content = StoreContent::default();
        content.rev = 100;
        content.compacted = 100;
        Store {
            content: Mutex::new(content),
            changed: Condvar::new(),
            era: AtomicU64::new(0),
            mode: Mutex::new(StoreMode::Up),
            lost_percent: AtomicU64::new(0),
            slow_ms: AtomicU64::new(4),
            vm_mode: Mutex::new(Vec::new()),
            cuts: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        }
    }
    pub fn copy(&self) -> Copy {
        Copy(self.content.lock().unwrap().clone())
    }
    /// Comes back from a copy. Leases of the copy run on from then, or have all ended.
    pub fn restore(&self, copy: Copy, leases_end: bool) {
        let mut c = self.content.lock().unwrap();
        *c = copy.0;
        let now = Instant::now();
        let ids: Vec<u64> = c.leases.keys().copied().collect();
        if leases_end {
            for id in ids {
                c.end_lease(id);
            }
        } else {
            for (ttl, at) in c.leases.values_mut() {
                *at = now + ms(*ttl);
            }
        }
        self.era.fetch_add(1, Ordering::SeqCst);
        drop(c);
        self.cut_watches();
    }
    pub fn cut_watches(&self) {
        self.cuts.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }
    pub fn compact(&self) {
        let mut c = self.content.lock().unwrap();
        c.compacted = c.rev;
        c.history.clear();
        drop(c);
        self.cut_watches();
    }
    pub fn put(&self, key: &str, value: &str) {
        let mut c = self.content.lock().unwrap();
        c.put(key, Some(base64(value.as_bytes())), 0);
        drop(c);
        self.changed.notify_all();
    }
    pub fn delete(&self, key: &str) {
        let mut c = self.content.lock().unwrap();
        if c.items.contains_key(key) {
            c.put(key, None, 0);
        }
        drop(c);
        self.changed.notify_all();
    }
    pub fn keys(&self) -> Vec<String> {
        self.content.lock().unwrap().items.keys().cloned().collect()
    }
    fn is_down(&self) -> bool {
        *self.mode.lock().unwrap() != StoreMode::Up
    }
}

fn serve_store(w: W, vm: usize, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut out = stream.try_clone().unwrap();
    let mut r = BufReader::new(stream);
    while let Some(req) = read_http(&mut r) {
        let mode = {
            let all = w.store.mode.lock().unwrap().clone();
            let one = w.store.vm_mode.lock().unwrap()[vm].clone();
            if all == StoreMode::Up { one } else { all }
        };
        match mode {
            StoreMode::Up => {}
            StoreMode::Busy => {
                sleep(ms(2));
                if respond(&w, &mut out, 503, "{}").is_err() {
                    return;
                }
                continue;
            }
            StoreMode::Reset => {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
            StoreMode::Silent => {
                sleep(ms(60_000));
                return;
            }
        }
        sleep(ms(w.store.slow_ms.load(Ordering::Relaxed)));
        w.store.calls.fetch_add(1, Ordering::Relaxed);
        let is_write = req.path == "/-/kv-txn";
        let reply = answer_store(&w, vm, &req);
        let (status, body) = match reply {
            Some(reply) => reply,
            None => {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        };
        let lost = w.store.lost_percent.load(Ordering::Relaxed);
        if is_write && lost > 0 && w.next.fetch_add(7919, Ordering::Relaxed) % 100 < lost {
            sleep(ms(60_000));
            return;
        }
        if respond(&w, &mut out, status, &body).is_err() {
            return;
        }
    }
}

fn respond(w: &W, out: &mut TcpStream, status: u16, body: &str) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {}\r\nContent-Length: {}\r\n\r\n{body}",
        w.store.era.load(Ordering::SeqCst),
        body.len()
    );
    out.write_all(head.as_bytes())
}

/// Returns a value as one VM reads it: each reaches the instances under addresses of its own, so that an
/// instance can be partitioned from some VMs.
fn for_vm(w: &W, vm: usize, key: &str, value: &str) -> String {
    let Some(id) = key.strip_prefix("servers/") else { return value.to_owned() };
    let addresses = w.addresses.lock().unwrap();
    let Some(addr) = addresses.get(id).and_then(|a| a.get(vm)) else { return value.to_owned() };
    base64(unbase64(value).replace("@addr", &addr.to_string()).as_bytes())
}

fn answer_store(w: &W, vm: usize, req: &Http) -> Option<(u16, String)> {
    let s = &w.store;
    let q = |k: &str| req.query.get(k).cloned().unwrap_or_default();
    let mut c = s.content.lock().unwrap();
    if c.expire() {
        s.changed.notify_all();
    }
    let lease_id = |p: &str| req.path.strip_prefix(p).and_then(|x| x.parse::<u64>().ok());
    if let Some(id) = lease_id("/-/kv-keep/") {
        return Some(match c.leases.get_mut(&id) {
            Some((ttl, at)) => {
                *at = Instant::now() + ms(*ttl);
                (200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}"))
            }
            None => (404, "{}".into()),
        });
    }
    if let Some(id) = lease_id("/-/kv-lease-end/") {
        let known = c.end_lease(id);
        drop(c);
        s.changed.notify_all();
        return Some((if known { 200 } else { 404 }, "{}".into()));
    }
    match &*req.path {
        "/-/kv-lease" => {
            let ttl = Json::parse(&req.body).num("ttl-ms").max(1000);
            c.last_lease += 1;
            let id = c.last_lease;
            c.leases.insert(id, (ttl, Instant::now() + ms(ttl)));
            Some((200, format!("{{\"lease\":{id},\"ttl-ms\":{ttl}}}")))
        }
        "/-/kv-key" => Some(match c.items.get(&q("key")) {
            Some(i) => {
                let item = StoreContent::shown(&q("key"), i, &for_vm(w, vm, &q("key"), &i.value));
                (200, format!("{},\"current-rev\":{}}}", &item[..item.len() - 1], c.rev))
            }
            None => (404, "{}".into()),
        }),
        "/-/kv-range" => {
            let (prefix, after) = (q("prefix"), q("after"));
            let items: Vec<String> = c
                .items
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after))
                .map(|(k, i)| StoreContent::shown(k, i, &for_vm(w, vm, k, &i.value)))
                .collect();
            Some((200, format!("{{\"items\":[{}],\"has-more\":false,\"current-rev\":{}}}", items.join(","), c.rev)))
        }
        "/-/kv-txn" => {
            let body = Json::parse(&req.body);
            let mut failed = Vec::new();
            let mut ok = true;
            for p in body.arr("precondition") {
                let key = p.str("key");
                let rev = c.items.get(&key).map_or(0, |i| i.rev);
                if rev != p.num("rev") {
                    ok = false;
                }
                if let Some(i) = c.items.get(&key) {
                    failed.push(StoreContent::item(&key, i));
                }
            }
            if !ok {
                return Some((412, format!("{{\"items\":[{}]}}", failed.join(","))));
            }
            for wr in body.arr("writes") {
                let lease = wr.num("lease");
                if lease > 0 && !c.leases.contains_key(&lease) {
                    return Some((404, "{}".into()));
                }
                let key = wr.str("key");
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return Some((403, "{}".into()));
                }
                c.put(&key, Some(wr.str("value")), lease);
                if key.starts_with("own/databases/") || key == "own/duty" {
                    let text = unbase64(&wr.str("value"));
                    note(w, &format!("{key} = {text}"));
                    let event = if key == "own/duty" { "duty" } else if text.contains("oving") { "moving" } else if text.contains("ettling") { "settling" } else { "steady" };
                    let v = Json::parse(&text);
                    let holder = v.str("holder");
                    fire(w, event, &holder);
                }
            }
            if let Some(Json::Arr(deletes)) = body.get("deletes") {
                for d in deletes.clone() {
                    if let Json::Str(key) = d {
                        c.put(&key, None, 0);
                    }
                }
            }
            let rev = c.rev;
            drop(c);
            s.changed.notify_all();
            Some((200, format!("{{\"rev\":{rev}}}")))
        }
        "/-/kv-watch" => {
            let prefix = q("prefix");
            let after: u64 = q("after").parse().unwrap_or(0);
            let wait: u64 = q("wait-ms").parse().unwrap_or(1000);
            let end = Instant::now() + ms(wait.min(30_000));
            let cuts = s.cuts.load(Ordering::SeqCst);
            loop {
                if s.cuts.load(Ordering::SeqCst) != cuts || s.is_down() {
                    return None;
                }
                if after > c.rev || after < c.compacted {
                    return Some((410, "{}".into()));
                }
                let events: Vec<String> = c
                    .history
                    .iter()
                    .filter(|(rev, k, _)| *rev > after && k.starts_with(&prefix))
                    .map(|(rev, k, v)| match v {
                        Some(v) => format!("{{\"key\":{},\"value\":\"{}\",\"rev\":{rev},\"created\":{rev},\"lease\":0}}", quote(k), for_vm(w, vm, k, v)),
                        None => format!("{{\"key\":{},\"rev\":{rev},\"tombstone\":true}}", quote(k)),
                    })
                    .collect();
                let now = Instant::now();
                if !events.is_empty() || now >= end {
                    return Some((200, format!("{{\"events\":[{}],\"current-rev\":{}}}", events.join(","), c.rev)));
                }
                c = s.changed.wait_timeout(c, (end - now).min(ms(100))).unwrap().0;
                if c.expire() {
                    s.changed.notify_all();
                }
            }
        }
        _ => Some((404, "{}".into())),
    }
}

// ---------------------------------------------------------------- promotion call

pub fn serve_cloud(w: W, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut out = stream.try_clone().unwrap();
    let mut r = BufReader::new(stream);
    while let Some(req) = read_http(&mut r) {
        let mode = w.cloud_mode.lock().unwrap().clone();
        match mode {
            StoreMode::Up => {}
            StoreMode::Busy => {
                let _ = respond(&w, &mut out, 503, "{}");
                continue;
            }
            StoreMode::Reset => return,
            StoreMode::Silent => {
                sleep(ms(20_000));
                return;
            }
        }
        sleep(ms(2));
        let body = Json::parse(&req.body);
        let id = body.str("id");
        let holder = req.headers.get("x-currantlb-lease-holder").cloned().unwrap_or_default();
        let token: u64 = req.headers.get("x-currantlb-fence-token").and_then(|t| t.parse().ok()).unwrap_or(0);
        let mut db = w.db.lock().unwrap();
        {
            let mut truth = w.truth.lock().unwrap();
            if let Some((last, _)) = db.fences.iter().max()
                && *last > token
            {
                broken(&w, &mut truth, format!("ONE: a promotion with token {token} after {last}"));
            }
            if db.fences.iter().any(|(t, h)| *t == token && *h != holder) {
                broken(&w, &mut truth, format!("ONE: two holders with token {token}"));
            }
        }
        db.fences.push((token, holder.clone()));
        let runs = db.insts.get(&id).is_some_and(|i| i.alive);
        let leads = db.insts.get(&id).is_some_and(|i| i.primary && db.insts.values().all(|o| o.id == i.id || !o.primary || o.term < i.term));
        note(&w, &format!("promote {id} by {holder} token {token} runs={runs} leads={leads}"));
        if !runs {
            drop(db);
            let _ = respond(&w, &mut out, 409, "{}");
            continue;
        }
        fire(&w, "promote", &format!("{holder} {id}"));
        if !leads {
            let at = Instant::now() + ms(w.promote_ms);
            db.promote_to.push((at, id));
        }
        drop(db);
        let _ = respond(&w, &mut out, 200, "{}");
    }
}

// ---------------------------------------------------------------- instances

impl Inst {
    fn position(&self) -> (u64, usize) {
        (self.term, self.log.len())
    }
    /// Returns whether the log lacks a position: a later term, or more entries than the log has of that term and those before.
    fn lacks(&self, (term, number): (u64, usize)) -> bool {
        term > self.term || number > self.log.partition_point(|e| e.term <= term)
    }
}

fn can_reach(a: &Inst, b: &Inst) -> bool {
    a.alive && b.alive && !a.cut_from.contains(&b.id) && !b.cut_from.contains(&a.id)
}

/// Replication, promotions and deaths of former primaries.
pub fn run_db(w: W) {
    while !w.end.load(Ordering::Relaxed) {
        sleep(ms(2));
        let mut db = w.db.lock().unwrap();
        let now = Instant::now();
        let due: Vec<String> = db.promote_to.iter().filter(|(at, _)| *at <= now).map(|(_, id)| id.clone()).collect();
        db.promote_to.retain(|(at, _)| *at > now);
        for id in due {
            promote(&w, &mut db, &id);
        }
        replicate(&w, &mut db);
        drop(db);
        w.db_changed.notify_all();
    }
}

fn promote(w: &W, db: &mut Db, id: &str) {
    let newest = db.insts.values().map(|i| i.newest.max(i.term)).max().unwrap_or(0);
    let Some(inst) = db.insts.get_mut(id) else { return };
    if !inst.alive {
        note(w, &format!("the promotion of {id} has no effect: it isn't running"));
        return;
    }
    // PAUSE may have raised the newest term that is known; the next term is above all.
    inst.primary = true;
    inst.term = newest + 1;
    inst.newest = inst.term;
    inst.paused = 0;
    inst.demote_at = None;
    let has = inst.has.clone();
    let term = inst.term;
    db.insts.values_mut().for_each(|i| i.paused = 0);
    let inst = &db.insts[id];
    let length = inst.log.len();
    db.promoted.push((Instant::now(), id.to_owned(), term));
    fire(w, "leads", id);
    let mut truth = w.truth.lock().unwrap();
    truth.led.push((Instant::now(), id.to_owned(), term));
    let lost: Vec<u64> = truth.acked.iter().map(|(_, c, _)| *c).filter(|c| !has.contains(c) && !truth.rolled_back.contains(c)).collect();
    note(w, &format!("{id} leads in term {term} with {length} commits; {} acknowledged commits are missing", lost.len()));
    for c in &lost {
        let text = format!("LOST: commit {c} {:?} is acknowledged and not in the log of {id}", truth.commit_at.get(c).map(|(_, i)| i.clone()));
        broken(w, &mut truth, text);
        truth.rolled_back.insert(*c);
    }
}

fn replicate(w: &W, db: &mut Db) {
    let now = Instant::now();
    let leaders: Vec<String> = db.insts.values().filter(|i| i.primary && i.alive).map(|i| i.id.clone()).collect();
    let Some(top) = leaders.iter().max_by_key(|id| db.insts[*id].term).cloned() else { return };
    // A former primary steps down a second after it can reach the new one.
    for id in &leaders {
        if *id == top {
            continue;
        }
        let reach = can_reach(&db.insts[id], &db.insts[&top]);
        let inst = db.insts.get_mut(id).unwrap();
        if !reach {
            inst.demote_at = None;
            continue;
        }
        let at = *inst.demote_at.get_or_insert(now + ms(1000));
        if now >= at {
            inst.primary = false;
            note(w, &format!("{id} has noticed that it was replaced"));
        }
    }
    let lag = ms(w.lag_ms.load(Ordering::Relaxed));
    let ids: Vec<String> = db.insts.keys().cloned().collect();
    for id in ids {
        let me = &db.insts[&id];
        if !me.alive || me.primary || me.deaf || me.paused > 0 {
            continue;
        }
        // It follows the leader of the newest term that it can reach, unless it knows a newer one.
        let leader = leaders
            .iter()
            .filter(|l| db.insts[*l].primary && can_reach(me, &db.insts[*l]))
            .max_by_key(|l| db.insts[*l].term);
        let Some(leader) = leader else { continue };
        let l = &db.insts[leader];
        if l.term < me.term {
            continue;
        }
        let mut common = me.log.len().min(l.log.len());
        if l.term > me.term {
            while common > 0 && !Arc::ptr_eq(&me.log[common - 1], &l.log[common - 1]) {
                common -= 1;
            }
        }
        let truth_at = |e: &Arc<Entry>, truth: &Truth| truth.commit_at.get(&e.commit).map_or(true, |(at, _)| now.duration_since(*at) >= lag);
        let truth = w.truth.lock().unwrap();
        let more: Vec<Arc<Entry>> = l.log[common..].iter().take_while(|e| truth_at(e, &truth)).cloned().collect();
        drop(truth);
        let term = l.term;
        let complete = common + more.len() == l.log.len();
        let me = db.insts.get_mut(&id).unwrap();
        let cut = me.log.split_off(common);
        for e in &cut {
            me.has.remove(&e.commit);
        }
        if !cut.is_empty() {
            let mut truth = w.truth.lock().unwrap();
            let acked = truth.acked.iter().filter(|(_, c, _)| cut.iter().any(|e| e.commit == *c)).count();
            truth.rolled_back.extend(cut.iter().map(|e| e.commit));
            drop(truth);
            note(w, &format!("{id} follows {leader} in term {term}: {} commits are cut from its log, {acked} of them acknowledged", cut.len()));
        }
        for e in more {
            me.has.insert(e.commit);
            me.log.push(e);
        }
        if term > me.term && (complete || !me.log.is_empty()) {
            me.term = term;
        }
        me.newest = me.newest.max(term);
    }
}

pub fn start_inst(w: &W, id: &str, zone: &str, primary: bool) {
    let known = w.addresses.lock().unwrap().get(id).cloned();
    let vms = w.vms.lock().unwrap().len();
    let bind = |k: usize| match &known {
        Some(addrs) => TcpListener::bind(addrs[k]).unwrap(),
        None => TcpListener::bind("127.0.0.1:0").unwrap(),
    };
    let listeners: Vec<TcpListener> = (0..vms).map(bind).collect();
    let addrs: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    w.addresses.lock().unwrap().insert(id.into(), addrs.clone());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let stop = Arc::new(AtomicBool::new(false));
    let streams = Arc::new(Mutex::new(Vec::new()));
    {
        let mut db = w.db.lock().unwrap();
        let former = db.insts.remove(id);
        let (log, has, term, newest, was_primary) = match former {
            Some(f) => (f.log, f.has, f.term, f.newest, f.primary),
            None => (Vec::new(), HashSet::new(), if primary { 3 } else { 0 }, 3, primary),
        };
        let inst = Inst {
            id: id.into(), zone: zone.into(), addr: addrs[0], alive: true, draining: false,
            primary: was_primary, term, newest, paused: 0, log, has, born, seq: 0,
            stop: stop.clone(), streams: streams.clone(), dark: false, deaf: false, cut_from: BTreeSet::new(),
            cut_vms: BTreeSet::new(), announces: true, demote_at: None, conns: 0, lose_answers: 0,
        };
        db.insts.insert(id.into(), inst);
    }
    for (vm, listener) in listeners.into_iter().enumerate() {
        let (w2, id2, stop, streams) = (w.clone(), id.to_owned(), stop.clone(), streams.clone());
        spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                streams.lock().unwrap().push(stream.try_clone().unwrap());
                let (w, id, stop) = (w2.clone(), id2.clone(), stop.clone());
                spawn(move || serve_inst(w, id, vm, stream, stop));
            }
        });
    }
}

/// The process of an instance ends.
pub fn crash(w: &W, id: &str) {
    let mut db = w.db.lock().unwrap();
    let Some(i) = db.insts.get_mut(id) else { return };
    if !i.alive {
        return;
    }
    i.alive = false;
    i.stop.store(true, Ordering::Relaxed);
    for s in i.streams.lock().unwrap().drain(..) {
        let _ = s.shutdown(Shutdown::Both);
    }
    drop(db);
    note(w, &format!("{id} crashes"));
    // Lets the listeners notice that they are to end.
    for addr in w.addresses.lock().unwrap().get(id).cloned().unwrap_or_default() {
        let _ = TcpStream::connect(addr);
    }
}

/// It comes back with its log, as a replica if another instance was promoted.
pub fn restart(w: &W, id: &str, empty: bool) {
    let zone = {
        let mut db = w.db.lock().unwrap();
        let newest = db.insts.values().filter(|i| i.primary && i.id != id).map(|i| i.term).max();
        let Some(i) = db.insts.get_mut(id) else { return };
        if i.alive {
            return;
        }
        if newest.is_some_and(|t| t > i.term) {
            i.primary = false;
        }
        if empty {
            i.log.clear();
            i.has.clear();
            i.primary = false;
            i.term = 0;
        }
        i.zone.clone()
    };
    sleep(ms(30));
    start_inst(w, id, &zone, false);
    note(w, &format!("{id} is back, empty={empty}"));
}

fn serve_inst(w: W, id: String, vm: usize, stream: TcpStream, stop: Arc<AtomicBool>) {
    let _ = stream.set_nodelay(true);
    let mut out = stream.try_clone().unwrap();
    let mut r = BufReader::new(stream);
    let mut tenant = String::new();
    let mut values: BTreeMap<String, String> = BTreeMap::new();
    let mut prepared: HashMap<String, String> = HashMap::new();
    // Open transaction: may write, writes, term of its start, failed
    let mut tx: Option<(bool, Vec<(String, String)>, u64, bool)> = None;
    loop {
        let mut raw = Vec::new();
        loop {
            match r.read_until(b'\n', &mut raw) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            if raw.ends_with(b"\r\n") {
                break;
            }
        }
        raw.truncate(raw.len() - 2);
        let line = String::from_utf8_lossy(&raw).into_owned();
        // An instance that is dark answers nothing.
        loop {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let db = w.db.lock().unwrap();
            if !db.insts.get(&id).is_some_and(|i| i.dark || i.cut_vms.contains(&vm)) {
                break;
            }
            drop(db);
            sleep(ms(20));
        }
        if let Some(rest) = line.strip_prefix("START ") {
            let f: Vec<&str> = rest.split(' ').collect();
            tenant = f.get(1).unwrap_or(&"").to_string();
            let service = w.db.lock().unwrap().service.clone();
            let wrong = f[0] != service || f.get(2).is_some_and(|x| *x != id);
            let text = if wrong { format!("ERR MISROUTED {id}\r\n") } else { ready(&w, &id, "I") };
            sleep(ms(2));
            if out.write_all(text.as_bytes()).is_err() || wrong {
                return;
            }
            continue;
        }
        if line == "BYE" {
            return;
        }
        let Some((qid, text)) = line.strip_prefix("QUERY ").and_then(|l| l.split_once(' ')) else { return };
        let reply = run_statement(&w, &id, qid, text, &tenant, &mut values, &mut prepared, &mut tx);
        let lose = {
            let mut db = w.db.lock().unwrap();
            match db.insts.get_mut(&id) {
                Some(i) if i.lose_answers > 0 && (text.starts_with("WRITE") || text.starts_with("COMMIT")) => {
                    i.lose_answers -= 1;
                    true
                }
                _ => false,
            }
        };
        if lose {
            let _ = out.shutdown(Shutdown::Both);
            return;
        }
        let state = match &tx {
            None => "I",
            Some((_, _, _, true)) => "E",
            Some(_) => "T",
        };
        let Some(reply) = reply else { return };
        let full = format!("{reply}{}", ready(&w, &id, state));
        if stop.load(Ordering::Relaxed) || out.write_all(full.as_bytes()).is_err() {
            return;
        }
    }
}

fn ready(w: &W, id: &str, state: &str) -> String {
    let db = w.db.lock().unwrap();
    let (t, n) = db.insts.get(id).map_or((0, 0), Inst::position);
    format!("READY {state} {t}.{n}\r\n")
}

#[allow(clippy::too_many_arguments)]
fn run_statement(
    w: &W, id: &str, qid: &str, text: &str, tenant: &str,
    values: &mut BTreeMap<String, String>, prepared: &mut HashMap<String, String>,
    tx: &mut Option<(bool, Vec<(String, String)>, u64, bool)>,
) -> Option<String> {
    let full_text = text;
    let (after, text) = match text.strip_prefix("AFTER ") {
        Some(rest) => {
            let (at, text) = rest.split_once(' ')?;
            let (t, n) = at.split_once('.')?;
            (Some((t.parse::<u64>().ok()?, n.parse::<usize>().ok()?)), text)
        }
        None => (None, text),
    };
    let (word, rest) = text.split_once(' ').unwrap_or((text, ""));
    let done = Some("DONE -\r\n".to_owned());
    if matches!(tx, Some((_, _, _, true))) && !matches!(word, "ROLLBACK" | "COMMIT") {
        return Some("ERR BADMSG failed\r\n".into());
    }
    match word {
        "SET" => {
            let (n, v) = rest.split_once(' ').unwrap_or((rest, ""));
            values.insert(n.into(), v.into());
            return done;
        }
        "RESET" => {
            values.clear();
            prepared.clear();
            return done;
        }
        "PREPARE" => {
            let (n, shape) = rest.split_once(' ')?;
            prepared.insert(n.into(), shape.into());
            return done;
        }
        "ROLLBACK" => {
            *tx = None;
            return done;
        }
        "STATUS" | "PAUSE" | "RESUME" | "DEMOTE" => {
            let mut db = w.db.lock().unwrap();
            let i = db.insts.get_mut(id)?;
            let term: u64 = rest.parse().unwrap_or(0);
            match word {
                // It stops a replica, under a term above the newest that it knows.
                "PAUSE" if !i.primary && term > i.newest.max(i.term) => {
                    i.paused = term;
                    i.newest = term;
                }
                "PAUSE" => {}
                "RESUME" => i.paused = 0,
                "DEMOTE" if term > i.term => {
                    if i.primary {
                        i.primary = false;
                        i.newest = i.newest.max(term);
                    }
                }
                _ => {}
            }
            let role = if i.primary { "primary" } else { "replica" };
            let (t, n) = i.position();
            let row = format!("ROW {role} {} {t}.{n} {} 0 0 {}\r\nDONE -\r\n", i.newest.max(i.term), i.paused, i.conns);
            if word != "STATUS" {
                fire(w, &word.to_lowercase(), id);
                let text = format!("{id} {word} {rest} -> {}", row.trim_end().replace("\r\n", " "));
                drop(db);
                note(w, &text);
            }
            return Some(row);
        }
        _ => {}
    }
    let work = w.work_ms.load(Ordering::Relaxed);
    if work > 0 && word != "BEGIN" {
        sleep(ms(work));
    }
    let db = w.db.lock().unwrap();
    let now = Instant::now();
    let me = db.insts.get(id)?;
    if !me.alive {
        return None;
    }
    let is_primary = me.primary;
    if let Some(after) = after
        && me.lacks(after)
    {
        return Some("ERR LAGGING x\r\n".into());
    }
    if word == "BEGIN" {
        let write = rest != "READ";
        if write && !is_primary {
            return Some(format!("ERR READONLY {id}\r\n"));
        }
        *tx = Some((write, Vec::new(), me.term, false));
        return done;
    }
    // Statements of callers.
    let (word, rest) = if word == "EXEC" {
        let (name, args) = rest.split_once(' ').unwrap_or((rest, ""));
        match prepared.get(name) {
            Some(shape) => (shape.split(' ').next().unwrap_or("").to_owned(), args.to_owned()),
            None => return Some("ERR NOSTMT x\r\n".into()),
        }
    } else {
        (word.to_owned(), rest.to_owned())
    };
    let mut truth = w.truth.lock().unwrap();
    let sent = truth.sent.get(qid).cloned();
    match &sent {
        None => broken(w, &mut truth, format!("UNASKED: {qid} {full_text}")),
        Some(s) if s.tenant != tenant => broken(w, &mut truth, format!("UNASKED: {qid} runs for {tenant}, not {}", s.tenant)),
        Some(s) if !s.text.starts_with("EXEC") && s.text != text => {
            broken(w, &mut truth, format!("UNASKED: {qid} {text}, not {}", s.text));
        }
        Some(_) => {}
    }
    truth.runs.push((now, id.to_owned(), qid.to_owned()));
    note(w, &format!("ran {qid} on {id}: {full_text}"));
    if let Some(s) = &sent {
        truth.op_runs.entry(s.op).or_insert((s.first, now, tenant.to_owned()));
    }
    let lost_lead = matches!(tx, Some((true, _, term, _)) if !is_primary || *term != me.term);
    match &*word {
        "READ" => {
            if lost_lead {
                *tx = Some((true, Vec::new(), 0, true));
                return Some(format!("ERR READONLY {id}\r\n"));
            }
            if let Some(s) = &sent {
                let stale = match s.kind {
                    Kind::Primary => 0,
                    Kind::Bounded => w.stale_bounded_ms,
                    Kind::Session => w.stale_session_ms,
                };
                let missing = truth.acked.iter().rev().take(3000).find(|(at, c, session)| {
                    let old = *at + ms(stale) < s.first;
                    let own = s.kind == Kind::Session && *session == s.session && *at < s.first;
                    (old || own) && !me.has.contains(c) && !truth.rolled_back.contains(c)
                });
                if let Some((at, c, _)) = missing.copied() {
                    let text = format!(
                        "STALE: {qid} ({:?}) runs on {id} (primary={is_primary}, term {}, {} commits) without commit {c}, acknowledged {} ms before its first byte",
                        s.kind, me.term, me.log.len(), s.first.duration_since(at).as_millis()
                    );
                    broken(w, &mut truth, text);
                }
            }
            let item = rest.split(' ').next().unwrap_or("");
            let row = me.log.iter().rev().take(2000).find_map(|e| e.items.iter().rev().find(|(k, _)| k == item).map(|(_, v)| v.clone()));
            Some(format!("ROW {}\r\nDONE sig.{qid}\r\n", row.unwrap_or_else(|| "-".into())))
        }
        "WRITE" => {
            if !is_primary || lost_lead || matches!(tx, Some((false, _, _, _))) {
                if let Some(t) = tx {
                    t.3 = true;
                }
                return Some(format!("ERR READONLY {id}\r\n"));
            }
            let (item, data) = rest.split_once(' ').unwrap_or((&rest, ""));
            let pair = (item.to_owned(), data.to_owned());
            if let Some(t) = tx {
                t.1.push(pair);
                return Some(format!("DONE sig.{qid}\r\n"));
            }
            drop(truth);
            commit(w, db, id, qid, vec![pair])
        }
        "COMMIT" => {
            let Some((write, items, _, failed)) = tx.take() else { return Some("ERR BADMSG x\r\n".into()) };
            if failed || (write && lost_lead && !items.is_empty()) {
                return Some(format!("ERR READONLY {id}\r\n"));
            }
            if items.is_empty() {
                return Some(format!("DONE sig.{qid}\r\n"));
            }
            drop(truth);
            commit(w, db, id, qid, items)
        }
        _ => Some("ERR BADMSG x\r\n".into()),
    }
}

fn commit(w: &W, mut db: std::sync::MutexGuard<'_, Db>, id: &str, qid: &str, items: Vec<(String, String)>) -> Option<String> {
    let commit = w.next.fetch_add(1, Ordering::Relaxed);
    let i = db.insts.get_mut(id)?;
    let entry = Arc::new(Entry { term: i.term, id: qid.into(), commit, items });
    i.log.push(entry.clone());
    i.has.insert(commit);
    let term = i.term;
    {
        let mut truth = w.truth.lock().unwrap();
        truth.commit_at.insert(commit, (Instant::now(), qid.into()));
        truth.made.insert(commit, (id.to_owned(), term));
        truth.commits.entry(qid.into()).or_default().push(commit);
    }
    let end = Instant::now() + ms(10_000);
    loop {
        let confirmed = db.insts.values().any(|o| o.id != id && o.alive && o.has.contains(&commit) && o.term == term);
        let i = db.insts.get(id)?;
        if !i.alive {
            return None;
        }
        if !i.has.contains(&commit) || !i.primary {
            // It was replaced meanwhile; nobody can tell whether the commit is kept.
            return None;
        }
        if confirmed {
            return Some(format!("DONE sig.{qid}\r\n"));
        }
        if Instant::now() >= end {
            return Some("ERR TIMEOUT x\r\n".into());
        }
        db = w.db_changed.wait_timeout(db, ms(20)).unwrap().0;
    }
}

pub fn announce(w: &W) {
    // Announcements are written each 1.2 s, and at once when something changes.
    let w = w.clone();
    spawn(move || {
        let mut written: HashMap<String, (Instant, String, u64)> = HashMap::new();
        while !w.end.load(Ordering::Relaxed) {
            sleep(ms(20));
            if w.store.is_down() {
                continue;
            }
            let era = w.store.era.load(Ordering::SeqCst);
            let mut db = w.db.lock().unwrap();
            let service = db.service.clone();
            let mut puts = Vec::new();
            let mut gone = Vec::new();
            for i in db.insts.values_mut() {
                if !i.alive || !i.announces {
                    if let Some((at, _, _)) = written.get(&i.id)
                        && at.elapsed() > ms(3600)
                    {
                        gone.push(i.id.clone());
                    }
                    continue;
                }
                let role = if i.primary { "primary" } else { "replica" };
                let state = if i.draining { "draining" } else { "ready" };
                let facts = format!("{role} {state} {} {}", i.born, i.addr);
                let due = match written.get(&i.id) {
                    None => true,
                    // What was lost by a restoration is written again.
                    Some((at, known, known_era)) => at.elapsed() > ms(1200) || *known != facts || (*known_era != era && at.elapsed() > ms(600)),
                };
                if !due {
                    continue;
                }
                i.seq += 1;
                let value = format!(
                    "{{\"service\":{},\"addr\":\"@addr\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":4,\"state\":\"{state}\",\"cold-left-ms\":0,\"db-role\":\"{role}\",\"seq\":{},\"born\":{}}}",
                    quote(&service), i.zone, i.seq, i.born
                );
                written.insert(i.id.clone(), (Instant::now(), facts, era));
                puts.push((i.id.clone(), value));
            }
            drop(db);
            for (id, value) in puts {
                w.store.put(&format!("servers/{id}"), &value);
            }
            for id in gone {
                written.remove(&id);
                w.store.delete(&format!("servers/{id}"));
            }
        }
    });
}

// ---------------------------------------------------------------- VMs

pub struct Vm {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub settings: String,
    pub log: String,
    pub child: Option<Child>,
    pub started: Option<Instant>,
    /// Ended by itself.
    pub own_ends: usize,
}

pub fn free_port(ip: &str) -> u16 {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let base = 12_000 + (std::process::id() as usize % 90) * 200;
    loop {
        let port = (base + NEXT.fetch_add(1, Ordering::Relaxed) % 200) as u16;
        if TcpListener::bind((ip, port)).is_ok() && std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

pub fn add_vm(w: &W, zone: &str, cpu: f64) {
    let mut vms = w.vms.lock().unwrap();
    let index = vms.len();
    let ip = format!("127.0.{}.{}", 1 + std::process::id() % 200, 11 + index);
    let ports: Vec<u16> = (0..4).map(|_| free_port(&ip)).collect();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let store_addr = listener.local_addr().unwrap();
    w.store.vm_mode.lock().unwrap().push(StoreMode::Up);
    let w2 = w.clone();
    spawn(move || {
        for s in listener.incoming().flatten() {
            let w = w2.clone();
            spawn(move || serve_store(w, index, s));
        }
    });
    let name = format!("front-{zone}-{index}");
    let settings = format!("{}/{name}.jsonc", w.folder);
    let cloud = w.cloud_addr.lock().unwrap().unwrap();
    let text = format!(
        "{{\"vm\":\"{name}\",\"availability_zone\":\"{zone}\",\"cpu_share\":{cpu},\"caller_address\":\"{ip}:{}\",\"probe_address\":\"{ip}:{}\",\"metrics_address\":\"{ip}:{}\",\"vm_ip\":\"{ip}\",\"peer_ports\":[{},{}],\"store_address\":\"{store_addr}\",\"promotion_address\":\"{cloud}\",\"max_descriptors\":4200,\"drain_limit_ms\":7000,\"stop_within_s\":6}}",
        ports[0], ports[1], ports[2], ports[3], ports[3]
    );
    std::fs::write(&settings, text).unwrap();
    vms.push(Vm {
        log: format!("{}/{name}.log", w.folder),
        front: format!("{ip}:{}", ports[0]).parse().unwrap(),
        ready: format!("{ip}:{}", ports[1]).parse().unwrap(),
        name, settings, child: None, started: None, own_ends: 0,
    });
}

pub fn start_vm(w: &W, index: usize) {
    let mut vms = w.vms.lock().unwrap();
    let vm = &mut vms[index];
    if let Some(c) = &mut vm.child
        && c.try_wait().ok().flatten().is_none()
    {
        return;
    }
    let log = File::options().create(true).append(true).open(&vm.log).unwrap();
    let program = std::env::var("PROGRAM").unwrap_or_else(|_| "target/release/currantlb-platform".into());
    let child = Command::new(program)
        .env_clear()
        .env("CURRANTLB_BOOT", &vm.settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .expect("build the platform's program first");
    vm.child = Some(child);
    vm.started = Some(Instant::now());
    let name = vm.name.clone();
    drop(vms);
    note(w, &format!("{name} starts"));
}

pub fn signal(w: &W, index: usize, name: &str) {
    let vms = w.vms.lock().unwrap();
    let vm = &vms[index];
    let vm_name = vm.name.clone();
    if let Some(c) = &vm.child {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(c.id().to_string()).status();
    }
    drop(vms);
    note(w, &format!("{vm_name} gets SIG{name}"));
}

pub fn kill_vm(w: &W, index: usize) {
    let mut vms = w.vms.lock().unwrap();
    if let Some(mut c) = vms[index].child.take() {
        let _ = c.kill();
        let _ = c.wait();
    }
    let name = vms[index].name.clone();
    drop(vms);
    note(w, &format!("{name} is killed"));
}

pub fn end_all(w: &W) {
    w.end.store(true, Ordering::Relaxed);
    let mut vms = w.vms.lock().unwrap();
    for vm in vms.iter_mut() {
        if let Some(mut c) = vm.child.take() {
            let _ = Command::new("kill").arg("-CONT").arg(c.id().to_string()).status();
            let _ = c.kill();
            let _ = c.wait();
        }
    }
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let Ok(mut s) = TcpStream::connect_timeout(&addr, ms(200)) else { return false };
    let _ = s.set_read_timeout(Some(ms(500)));
    let _ = s.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut buf = [0; 64];
    let n = s.read(&mut buf).unwrap_or(0);
    String::from_utf8_lossy(&buf[..n]).contains(" 200 ")
}

// ---------------------------------------------------------------- callers

pub struct Session {
    pub out: TcpStream,
    pub r: BufReader<TcpStream>,
    pub number: u64,
}

pub enum Opened {
    Yes(Session),
    Refused(String),
    No,
}

impl Session {
    pub fn open(w: &W, addr: SocketAddr, host: &str, key: &str) -> Opened {
        let Ok(s) = TcpStream::connect_timeout(&addr, ms(500)) else { return Opened::No };
        let _ = s.set_nodelay(true);
        let _ = s.set_read_timeout(Some(ms(2000)));
        let Ok(mut out) = s.try_clone() else { return Opened::No };
        if out.write_all(format!("START {host} {key}\r\n").as_bytes()).is_err() {
            return Opened::No;
        }
        let mut r = BufReader::new(s);
        let mut line = String::new();
        if r.read_line(&mut line).unwrap_or(0) == 0 {
            return Opened::No;
        }
        if !line.starts_with("READY") {
            return Opened::Refused(line.trim_end().to_owned());
        }
        Opened::Yes(Session { out, r, number: w.session_seq.fetch_add(1, Ordering::Relaxed) })
    }
    /// Sends a statement and reads the whole response; lines joined by `|`.
    pub fn run(&mut self, id: &str, text: &str, limit: Duration) -> Option<String> {
        self.out.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let _ = self.r.get_ref().set_read_timeout(Some(limit));
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.r.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_owned();
            let end = line.starts_with("READY");
            lines.push(line);
            if end {
                return Some(lines.join("|"));
            }
        }
    }
}

pub fn is_promise(response: &str) -> bool {
    let code = response.strip_prefix("ERR ").and_then(|r| r.split(' ').next()).unwrap_or("");
    matches!(code, "BUSY" | "ABORTED" | "LAGGING" | "READONLY" | "MISROUTED" | "TOOMANY")
}

#[derive(Clone)]
pub struct CallerSpec {
    pub vm: usize,
    pub host: String,
    pub key: String,
    pub tenant: String,
    pub kind: Kind,
    pub write_percent: u64,
    pub tx_percent: u64,
    pub pause_ms: u64,
    pub stay: bool,
}

pub fn caller(w: W, spec: CallerSpec, seed: u64) {
    let mut rng = Rng::new(seed);
    let mut vm = spec.vm;
    while !w.end.load(Ordering::Relaxed) {
        let (addr, count) = {
            let vms = w.vms.lock().unwrap();
            (vms[vm % vms.len()].front, vms.len())
        };
        let session = match Session::open(&w, addr, &spec.host, &spec.key) {
            Opened::Yes(s) => s,
            _ => {
                if !spec.stay {
                    vm = (vm + 1 + rng.below(count as u64 - 1) as usize) % count;
                }
                sleep(ms(50 + rng.below(100)));
                continue;
            }
        };
        run_session(&w, &spec, session, &mut rng);
        if !spec.stay {
            vm = rng.below(count as u64) as usize;
        }
        sleep(ms(20));
    }
}

fn run_session(w: &W, spec: &CallerSpec, mut s: Session, rng: &mut Rng) {
    let limit = ms(2500);
    for _ in 0..20 + rng.below(200) {
        if w.end.load(Ordering::Relaxed) {
            return;
        }
        sleep(ms(spec.pause_ms / 2 + rng.below(spec.pause_ms + 1)));
        let op = w.next.fetch_add(1, Ordering::Relaxed);
        let started = Instant::now();
        let number = s.number;
        let register = |n: u64, text: &str, first: Instant| {
            let id = format!("{op:08x}{n:02x}");
            let sent = Sent {
                text: text.into(), at: Instant::now(), first, tenant: spec.tenant.clone(),
                kind: spec.kind, session: number, op,
            };
            w.truth.lock().unwrap().sent.insert(id.clone(), sent);
            id
        };
        let item = format!("{:x}", rng.below(400));
        let writes = rng.chance(spec.write_percent);
        if rng.chance(spec.tx_percent) {
            let begin = if writes { "BEGIN" } else { "BEGIN READ" };
            let id = register(0, begin, started);
            let Some(a) = ask(w, &mut s, &id, begin, limit) else { return };
            if !a.contains("READY T") {
                served(w, spec, false, started);
                if a.ends_with("READY I -") { continue } else { return }
            }
            let mut ok = true;
            for n in 1..3u64 {
                sleep(ms(rng.below(20)));
                let text = if writes && n == 1 { format!("WRITE {item} d{op:x}") } else { format!("READ {item}") };
                let id = register(n, &text, started);
                let a = ask(w, &mut s, &id, &text, limit);
                if !a.as_ref().is_some_and(|a| a.contains("READY T") && a.contains("DONE")) {
                    ok = false;
                    if a.is_none() {
                        served(w, spec, false, started);
                        return;
                    }
                    break;
                }
            }
            if !ok {
                served(w, spec, false, started);
                let id = register(8, "ROLLBACK", started);
                if ask(w, &mut s, &id, "ROLLBACK", limit).is_none() {
                    return;
                }
                continue;
            }
            let id = register(9, "COMMIT", started);
            let a = ask(w, &mut s, &id, "COMMIT", limit);
            finish(w, spec, &s, &id, a.as_deref(), writes, started);
            if !a.is_some_and(|a| a.contains("READY I")) {
                return;
            }
        } else {
            let text = if writes { format!("WRITE {item} d{op:x}") } else { format!("READ {item}") };
            let id = register(0, &text, started);
            let a = ask(w, &mut s, &id, &text, limit);
            finish(w, spec, &s, &id, a.as_deref(), writes, started);
            if !a.is_some_and(|a| a.contains("READY I")) {
                return;
            }
        }
    }
}

/// Runs a statement and records what was sent and answered.
fn ask(w: &W, s: &mut Session, id: &str, text: &str, limit: Duration) -> Option<String> {
    note(w, &format!("sent {id} {text}"));
    let answer = s.run(id, text, limit);
    note(w, &format!("answered {id} {}", answer.as_deref().unwrap_or("nothing, or not in time")));
    answer
}

fn served(w: &W, spec: &CallerSpec, ok: bool, started: Instant) {
    w.truth.lock().unwrap().served.push((started, spec.kind, ok));
}

fn finish(w: &W, spec: &CallerSpec, s: &Session, id: &str, answer: Option<&str>, writes: bool, started: Instant) {
    let done = answer.is_some_and(|a| a.starts_with("DONE") || a.starts_with("ROW"));
    served(w, spec, done, started);
    let mut truth = w.truth.lock().unwrap();
    if let Some(a) = answer
        && done
        && !a.contains(&format!("DONE sig.{id}"))
    {
        broken(w, &mut truth, format!("MIXED: {id} answered {a}"));
    }
    if !writes {
        return;
    }
    let now = Instant::now();
    let outcome = match answer {
        Some(_) if done => Outcome::Acked,
        Some(a) if is_promise(a) => Outcome::Promise,
        _ => Outcome::Unknown,
    };
    truth.outcomes.insert(id.into(), outcome);
    if outcome == Outcome::Acked {
        match truth.commits.get(id).and_then(|c| c.last().copied()) {
            Some(c) => {
                truth.acked.push((now, c, s.number));
                let made = truth.commit_at.get(&c).map(|(at, _)| *at).zip(truth.made.get(&c).cloned());
                if let Some((at, (by, term))) = made {
                    let later = truth.led.iter().find(|(led, _, t)| *led < at && *t > term).cloned();
                    if let Some((led, leader, t)) = later {
                        let text = format!(
                            "ONE: {id} was committed at {by} in term {term} and acknowledged, {} ms after {leader} was promoted to term {t}",
                            at.duration_since(led).as_millis()
                        );
                        broken(w, &mut truth, text);
                    }
                }
                if truth.rolled_back.contains(&c) {
                    broken(w, &mut truth, format!("LOST: {id} is acknowledged after its commit {c} was rolled back"));
                }
            }
            None => broken(w, &mut truth, format!("MIXED: {id} is acknowledged and was never committed")),
        }
    }
}

// ---------------------------------------------------------------- judgement at the end

pub fn judge_end(w: &W, rates: &[(&str, f64, f64)]) {
    let db = w.db.lock().unwrap();
    let mut truth = w.truth.lock().unwrap();
    let top = db.insts.values().filter(|i| i.primary && i.alive).max_by_key(|i| i.term);
    let mut texts = Vec::new();
    if let Some(top) = top {
        let mut count: HashMap<&str, usize> = HashMap::new();
        for e in &top.log {
            *count.entry(&e.id).or_default() += 1;
        }
        for (id, n) in &count {
            if *n > 1 {
                texts.push(format!("TWICE: {id} took effect {n} times"));
            }
            if truth.outcomes.get(*id) == Some(&Outcome::Promise) {
                texts.push(format!("REFUSED: {id} is committed"));
            }
        }
        for (_, c, _) in &truth.acked {
            if !top.has.contains(c) && !truth.rolled_back.contains(c) {
                texts.push(format!("LOST: commit {c} isn't in the log of {}", top.id));
            }
        }
    }
    // Sent and arrived within a window of 5 s.
    for (tenant, rate, burst) in rates {
        let bound = (rate * 5.0 + burst) * 1.1 + 20.0;
        let mut ops: Vec<(Instant, Instant)> =
            truth.op_runs.values().filter(|(_, _, t)| t == tenant).map(|(a, b, _)| (*a, *b)).collect();
        ops.sort();
        let mut worst = 0;
        let mut worst_at = w.start;
        for k in 0..ops.len() {
            let from = ops[k].0;
            let n = ops[k..].iter().take_while(|(a, _)| *a < from + ms(5000)).filter(|(_, b)| *b < from + ms(5000)).count();
            if n > worst {
                worst = n;
                worst_at = from;
            }
        }
        let at = worst_at.duration_since(w.start).as_millis();
        let text = format!("tenant {tenant}: at most {worst} operations in 5 s (from {at} ms), bound {bound:.0}");
        note(w, &text);
        if worst as f64 > bound {
            texts.push(format!("QUOTA: {text}"));
        }
    }
    for t in texts {
        broken(w, &mut truth, t);
    }
}
