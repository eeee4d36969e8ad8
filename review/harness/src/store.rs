//! A stand-in of the platform's metadata store: pages of items, and watches.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http;

/// Items on one page.
const PAGE_ITEMS_COUNT: usize = 50;

#[derive(Default)]
struct State {
    /// Value and revision by key.
    items: BTreeMap<String, (String, u64)>,
    /// Key, value (absent for a removal) and revision of each change.
    changes: Vec<(String, Option<String>, u64)>,
    revision: u64,
}

/// Handle to the store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts to serve the store.
    pub fn open(address: SocketAddr) -> io::Result<Store> {
        let store = Store::default();
        let served = store.clone();
        http::serve(address, move |request| {
            Some(served.answer(request.target()))
        })?;
        Ok(store)
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let item = (value.clone(), revision);
                state.items.insert(key.to_owned(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        state.changes.push((key.to_owned(), value, revision));
        changed.notify_all();
    }

    fn answer(&self, target: &str) -> Vec<u8> {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let prefix = parameter(query, "Prefix").unwrap_or_default();
        let after = parameter(query, "after").unwrap_or_default();
        let body = match path {
            "/kv-range" => self.page(&prefix, &after),
            "/kv-watch" => {
                let wait_ms = parameter(query, "WaitMs").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                self.watch(&prefix, after.parse().unwrap_or(0), wait)
            }
            _ => return http::response(404, &[], b""),
        };
        let json = [("Content-Type", "application/json")];
        http::response(200, &json, body.as_bytes())
    }

    fn page(&self, prefix: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = items.collect();
        let page = items.iter().take(PAGE_ITEMS_COUNT);
        let page = page.map(|(key, (value, revision))| item(key, Some(value), *revision));
        let page: Vec<String> = page.collect();
        format!(
            r#"{{"items":[{}],"MorePages":{},"CurrentRev":{}}}"#,
            page.join(","),
            items.len() > PAGE_ITEMS_COUNT,
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let events = changes.filter(|(key, _, rev)| key.starts_with(prefix) && *rev > after);
            let events = events.map(|(key, value, rev)| item(key, value.as_ref(), *rev));
            let events: Vec<String> = events.collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!(r#"{{"events":[{events}],"CurrentRev":{revision}}}"#);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#
        ),
        None => format!(r#"{{"Key":"{key}","Revision":{revision},"Removed":true}}"#),
    }
}

/// Returns a parameter of a query, without its percent-encoding.
fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(known, _)| *known == name)?;
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let [first, tail @ ..] = rest {
        let escape = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = escape.and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8(bytes).ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let is_padding = digit > chunk.len();
            let value = (bits >> (18 - 6 * digit)) as usize & 63;
            text.push(if is_padding {
                '='
            } else {
                DIGITS[value] as char
            });
        }
    }
    text
}
