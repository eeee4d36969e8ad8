//! A stand-in of the platform's metadata store: lists and watches, over a history in memory.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection};

#[derive(Default)]
struct State {
    revision: u64,
    /// Value, last revision and first revision of each item.
    items: BTreeMap<String, (String, u64, u64)>,
    /// Revision, key and event of each change.
    history: Vec<(u64, String, String)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no port for the store");
        let address = listener.local_addr().expect("no address of the store");
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let store = Store { address, shared };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item, whose value is a JSON text; it is accepted when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.2);
        let value = base64(value.as_bytes());
        let event = item_json(key, &value, revision, created);
        state
            .items
            .insert(key.to_owned(), (value, revision, created));
        state.history.push((revision, key.to_owned(), event));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            let target = request.start.split(' ').nth(1).unwrap_or_default();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let mut values = pairs.filter(|(key, _)| *key == name);
                values.next().map(|(_, value)| decode(value))
            };
            let prefix = parameter("Prefix").unwrap_or_default();
            let after = parameter("after").unwrap_or_default();
            let body = match path {
                "/kv-range" => Some(self.list(&prefix, &after)),
                "/kv-watch" => {
                    let wait_ms = parameter("WaitMs").and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(wait_ms.unwrap_or(0).min(30_000));
                    Some(self.watch(&prefix, after.parse().unwrap_or(0), wait))
                }
                _ => None,
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let bytes = match body {
                Some(body) => http::response("200 OK", &headers, body.as_bytes()),
                None => http::response("404 Not Found", &headers, b"{}"),
            };
            if connection.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter();
        let matching = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = matching.map(|(key, item)| item_json(key, &item.0, item.1, item.2));
        let items: Vec<String> = items.collect();
        let (items, revision) = (items.join(","), state.revision);
        format!(r#"{{"items":[{items}],"MorePages":false,"CurrentRev":{revision}}}"#)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let changes = state.history.iter();
            let matching =
                changes.filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<&str> = matching.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"CurrentRev":{revision}}}"#);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, value: &str, revision: u64, created: u64) -> String {
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{created},"Lease":0}}"#
    )
}

/// Decodes the percent-encoding of a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let pair = text.get(at + 1..at + 3);
        let byte = pair.and_then(|pair| u8::from_str_radix(pair, 16).ok());
        match (bytes[at], byte) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let index = (number >> (18 - 6 * place)) & 63;
            match place <= chunk.len() {
                true => text.push(char::from(ALPHABET[index as usize])),
                false => text.push('='),
            }
        }
    }
    text
}
