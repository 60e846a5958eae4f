//! The platform's store and the call that promotes an instance, over HTTP/1.1.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::database::Database;
use crate::json::{self, Json};
use crate::record::Record;

/// Time that the store and the promotion call take to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Event {
    key: String,
    rev: u64,
    /// JSON of the event.
    text: String,
}

#[derive(Default)]
struct Content {
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: HashMap<u64, (Instant, Duration)>,
    rev: u64,
    next_lease: u64,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    record: Arc<Record>,
}

/// Promotion call as the platform received it.
#[derive(Debug, Clone)]
pub struct Promotion {
    pub holder: String,
    pub fence: u64,
    pub instance: String,
}

pub struct Cloud {
    pub promotions: Mutex<Vec<Promotion>>,
    database: Arc<Database>,
    record: Arc<Record>,
}

struct Request {
    method: String,
    path: String,
    query: HashMap<String, String>,
    headers: HashMap<String, String>,
    body: String,
}

type Reply = (u16, String);

impl Store {
    pub fn start(record: Arc<Record>) -> Result<(Arc<Self>, SocketAddr), String> {
        let store = Arc::new(Self {
            content: Mutex::new(Content {
                rev: 10,
                ..Content::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        let handler = Arc::clone(&store);
        let address = serve(move |request| handler.respond(request))?;
        Ok((store, address))
    }

    /// Writes a key as the operator or an instance does.
    pub fn put(&self, key: &str, value: &str) {
        let mut content = self.content.lock().unwrap();
        content.rev += 1;
        content.write(key, encode_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut content = self.content.lock().unwrap();
        content.rev += 1;
        content.delete(key);
        self.changed.notify_all();
    }

    /// Returns the value of a key as text.
    pub fn get(&self, key: &str) -> Option<String> {
        let content = self.content.lock().unwrap();
        let value = decode_base64(&content.items.get(key)?.value);
        String::from_utf8(value).ok()
    }

    fn expire(&self) {
        let mut content = self.content.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = content
            .leases
            .iter()
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            content.end_lease(lease, &self.record);
            self.changed.notify_all();
        }
    }

    fn respond(&self, request: &Request) -> Reply {
        if request.path == "/-/kv-watch" {
            return self.watch(request);
        }
        thread::sleep(ANSWER_TIME);
        let mut content = self.content.lock().unwrap();
        let reply = self.answer(&mut content, request);
        drop(content);
        self.changed.notify_all();
        reply
    }

    fn answer(&self, content: &mut Content, request: &Request) -> Reply {
        let path = request.path.as_str();
        if let Some(id) = path.strip_prefix("/-/kv-keep/") {
            let lease = id.parse().unwrap_or(0);
            let Some((until, ttl)) = content.leases.get_mut(&lease) else {
                self.record.note(format!(
                    "store: renewal of lease {lease} refused, it has ended"
                ));
                return (404, "{}".to_owned());
            };
            *until = Instant::now() + *ttl;
            return (
                200,
                format!(r#"{{"lease":{lease},"ttl-ms":{}}}"#, ttl.as_millis()),
            );
        }
        if let Some(id) = path.strip_prefix("/-/kv-lease-end/") {
            let lease = id.parse().unwrap_or(0);
            if !content.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            content.end_lease(lease, &self.record);
            return (200, "{}".to_owned());
        }
        match path {
            "/-/kv-key" => {
                let key = request.parameter("key");
                match content.items.get(key) {
                    Some(item) => {
                        let text = item.json(key);
                        let text = text.trim_end_matches('}');
                        (200, format!(r#"{text},"current-rev":{}}}"#, content.rev))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/-/kv-range" => {
                let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
                let found = content
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
                let items: Vec<String> = found.map(|(key, item)| item.json(key)).collect();
                (
                    200,
                    format!(
                        r#"{{"items":[{}],"has-more":false,"current-rev":{}}}"#,
                        items.join(","),
                        content.rev
                    ),
                )
            }
            "/-/kv-lease" => {
                let ttl = json::parse(&request.body).get("ttl-ms").number();
                let ttl = Duration::from_millis(ttl.clamp(1_000, 600_000));
                content.next_lease += 1;
                let lease = 70_000 + content.next_lease;
                content.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!(r#"{{"lease":{lease},"ttl-ms":{}}}"#, ttl.as_millis()),
                )
            }
            "/-/kv-txn" => self.transaction(content, &json::parse(&request.body)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transaction(&self, content: &mut Content, body: &Json) -> Reply {
        let conditions = body.get("precondition").list();
        let holds = conditions.iter().all(|condition| {
            let current = content.items.get(condition.get("key").text());
            current.map_or(0, |item| item.rev) == condition.get("rev").number()
        });
        if !holds {
            let items: Vec<String> = conditions
                .iter()
                .filter_map(|condition| {
                    let key = condition.get("key").text();
                    content.items.get(key).map(|item| item.json(key))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let writes = body.get("writes").list();
        let keys = writes.iter().map(|write| write.get("key").text());
        let deletes = body.get("deletes").list().iter().map(Json::text);
        if keys
            .chain(deletes)
            .any(|key| key.starts_with("op/") || key.starts_with("servers/"))
        {
            return (403, "{}".to_owned());
        }
        let lease_of = |write: &Json| write.get("lease").number();
        let is_known = |lease| lease == 0 || content.leases.contains_key(&lease);
        if !writes.iter().map(lease_of).all(is_known) {
            return (404, "{}".to_owned());
        }
        content.rev += 1;
        for write in writes {
            let (key, value) = (write.get("key").text(), write.get("value").text());
            let text = String::from_utf8(decode_base64(value)).unwrap_or_default();
            self.record
                .note(format!("store: rev {} writes {key} = {text}", content.rev));
            content.write(key, value.to_owned(), lease_of(write));
        }
        for key in body.get("deletes").list() {
            content.delete(key.text());
        }
        (200, format!(r#"{{"rev":{}}}"#, content.rev))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.parameter("prefix");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait: u64 = request.parameter("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut content = self.content.lock().unwrap();
        loop {
            let found = content
                .history
                .iter()
                .filter(|event| event.rev > after && event.key.starts_with(prefix));
            let events: Vec<&str> = found.map(|event| event.text.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return (
                    200,
                    format!(
                        r#"{{"events":[{}],"current-rev":{}}}"#,
                        events.join(","),
                        content.rev
                    ),
                );
            }
            content = self.changed.wait_timeout(content, end - now).unwrap().0;
        }
    }
}

impl Content {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item {
            value,
            rev,
            created,
            lease,
        };
        self.history.push(Event {
            key: key.to_owned(),
            rev,
            text: item.json(key),
        });
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let rev = self.rev;
            self.history.push(Event {
                key: key.to_owned(),
                rev,
                text: format!(
                    r#"{{"key":{},"rev":{rev},"tombstone":true}}"#,
                    json::quote(key)
                ),
            });
        }
    }

    fn end_lease(&mut self, lease: u64, record: &Record) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        if !bound.is_empty() {
            self.rev += 1;
        }
        for key in bound {
            record.note(format!("store: lease {lease} ends, {key} is removed"));
            self.delete(&key);
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":{},"value":"{}","rev":{},"created":{},"lease":{}}}"#,
            json::quote(key),
            self.value,
            self.rev,
            self.created,
            self.lease
        )
    }
}

impl Cloud {
    pub fn start(
        database: Arc<Database>,
        record: Arc<Record>,
    ) -> Result<(Arc<Self>, SocketAddr), String> {
        let cloud = Arc::new(Self {
            promotions: Mutex::default(),
            database,
            record,
        });
        let handler = Arc::clone(&cloud);
        let address = serve(move |request| handler.respond(request))?;
        Ok((cloud, address))
    }

    fn respond(&self, request: &Request) -> Reply {
        if request.method != "POST" || request.path != "/promote" {
            return (404, "{}".to_owned());
        }
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let promotion = Promotion {
            holder: header("x-currantlb-lease-holder"),
            fence: header("x-currantlb-fence-token").parse().unwrap_or(0),
            instance: json::parse(&request.body).get("id").text().to_owned(),
        };
        let mut promotions = self.promotions.lock().unwrap();
        let highest = promotions.iter().map(|call| call.fence).max().unwrap_or(0);
        self.record.note(format!(
            "platform: POST /promote id={} holder={} fence={} (highest before: {highest})",
            promotion.instance, promotion.holder, promotion.fence
        ));
        promotions.push(promotion.clone());
        drop(promotions);
        thread::sleep(ANSWER_TIME);
        if self.database.promote(&promotion.instance) {
            (200, "{}".to_owned())
        } else {
            (409, "{}".to_owned())
        }
    }

    /// Returns the calls with a lower fence than the platform had seen, and those of two holders
    /// with the same fence.
    pub fn violations(&self) -> Vec<String> {
        let promotions = self.promotions.lock().unwrap();
        let mut found = Vec::new();
        for (index, call) in promotions.iter().enumerate() {
            for earlier in &promotions[..index] {
                if call.fence < earlier.fence {
                    found.push(format!(
                        "ONE: {} sent fence {} (promote {}) after {} had sent {} (promote {})",
                        call.holder,
                        call.fence,
                        call.instance,
                        earlier.holder,
                        earlier.fence,
                        earlier.instance
                    ));
                } else if call.fence == earlier.fence && call.holder != earlier.holder {
                    found.push(format!(
                        "ONE: {} and {} promoted with the same fence {}",
                        call.holder, earlier.holder, call.fence
                    ));
                }
            }
        }
        found
    }
}

impl Request {
    fn parameter(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }
}

/// Serves HTTP on a free port; returns its address.
fn serve(
    respond: impl Fn(&Request) -> Reply + Send + Sync + 'static,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = Arc::clone(&respond);
            thread::spawn(move || serve_connection(stream, respond.as_ref()));
        }
    });
    Ok(address)
}

fn serve_connection(stream: TcpStream, respond: &(impl Fn(&Request) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let (status, body) = respond(&request);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let mut body = vec![0; length.and_then(|text| text.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(name, value)| (name.to_owned(), unescape(value)));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = (byte(0) << 16) | (byte(1) << 8) | byte(2);
        for index in 0..4 {
            if index <= chunk.len() {
                let place = (group >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[place as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(place) = ALPHABET.iter().position(|known| *known == byte) else {
            break;
        };
        group = (group << 6) | place as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits) as u8);
        }
    }
    bytes
}
