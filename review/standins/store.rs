//! The platform's store: items, ranges and watches, read only from outside.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    create_revision: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    /// Revision and JSON of each change.
    events: Vec<(u64, String)>,
    /// Connections on which a watch waits.
    waiting: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store { address: listener.local_addr()?, shared: Arc::default() };
        store.shared.0.lock().unwrap().rev = 400;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an item; the return is the store's confirmation.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        let create_revision = state.items.get(key).map_or(rev, |item| item.create_revision);
        let item = Item { value: base64(value.as_bytes()), rev, create_revision };
        let json = item_json(key, &item);
        state.items.insert(key.to_owned(), item);
        state.events.push((rev, json));
        self.shared.1.notify_all();
    }

    /// Removes an item; the return is the store's confirmation.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.items.remove(key);
        state.events.push((rev, format!(r#"{{"key":"{key}","rev":{rev},"removed":true}}"#)));
        self.shared.1.notify_all();
    }

    /// Cuts the watches that wait if there are `count` of them; returns how many were cut.
    pub fn cut_waiting_watches(&self, count: usize) -> usize {
        let mut state = self.shared.0.lock().unwrap();
        if state.waiting.len() < count {
            return 0;
        }
        let waiting = std::mem::take(&mut state.waiting);
        waiting.iter().filter(|stream| stream.shutdown(Shutdown::Both).is_ok()).count()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let target = request.second_word().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let field = |name: &str| {
                let mut fields = query.split('&').filter_map(|field| field.split_once('='));
                fields.find(|(key, _)| *key == name).map(|(_, value)| decoded(value))
            };
            let (status, body) = match path {
                "/kv-key" => self.key(&field("key").unwrap_or_default()),
                "/kv-range" => self.range(
                    &field("prefix").unwrap_or_default(),
                    &field("after").unwrap_or_default(),
                ),
                "/kv-watch" => {
                    let after = field("after").and_then(|after| after.parse().ok()).unwrap_or(0);
                    let wait = field("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                    self.watch(after, Duration::from_millis(wait), &writer)
                }
                _ => ("404 Not Found", String::new()),
            };
            let json = [("Content-Type", "application/json")];
            http::write(&mut writer, &http::response(status, &json, body.as_bytes())).ok()?;
        }
        None
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let Some(item) = state.items.get(key) else { return ("404 Not Found", "{}".to_owned()) };
        let json = item_json(key, item);
        let rev = state.rev;
        ("200 OK", format!(r#"{},"store_revision":{rev}}}"#, json.trim_end_matches('}')))
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
        let (items, rev) = (items.join(","), state.rev);
        ("200 OK", format!(r#"{{"items":[{items}],"truncated":false,"store_revision":{rev}}}"#))
    }

    fn watch(&self, after: u64, wait: Duration, stream: &TcpStream) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        let port = stream.peer_addr().ok();
        if let Ok(stream) = stream.try_clone() {
            state.waiting.push(stream);
        }
        while state.rev <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
        state.waiting.retain(|waiting| waiting.peer_addr().ok() != port);
        let events = state.events.iter().filter(|(rev, _)| *rev > after);
        let events: Vec<&str> = events.map(|(_, json)| json.as_str()).collect();
        let (events, rev) = (events.join(","), state.rev);
        ("200 OK", format!(r#"{{"events":[{events}],"store_revision":{rev}}}"#))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, rev, create_revision } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{rev},"create_revision":{create_revision},"lease":0}}"#
    )
}

fn decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8(digits).unwrap_or_default();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8(bytes).unwrap_or_default()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
