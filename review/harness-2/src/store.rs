//! Stand-in for the platform's store: topics of one partition, reads that wait, conditional appends.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpListener,
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    http::{Conn, read_head, read_sized},
    names::name,
};

/// The store.
pub struct Store {
    topics: Mutex<HashMap<String, Vec<Vec<u8>>>>,
    changed: watch::Sender<u64>,
}

impl Store {
    /// Starts a store at an address.
    pub async fn start(at: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Self { topics: Mutex::default(), changed: watch::Sender::new(0) });
        let listener = TcpListener::bind(at).await.expect("the store's port is free");
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                tokio::spawn(async move { store.serve(Conn::new(stream)).await });
            }
        });
        store
    }

    /// Writes a record of a key, as the operator or an endpoint does.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.to_string().as_bytes());
        self.append(topic, vec![record], None).expect("no condition");
    }

    /// Whether a topic has ever had a record of a key.
    pub fn has_key(&self, topic: &str, key: &str) -> bool {
        let topics = self.topics.lock().expect("no panic");
        topics.get(topic).is_some_and(|log| {
            let is_key =
                |record: &Vec<u8>| usize::from(record[0]) == key.len() && record[1..].starts_with(key.as_bytes());
            log.iter().any(is_key)
        })
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>, end: Option<usize>) -> Result<usize, usize> {
        let mut topics = self.topics.lock().expect("no panic");
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        if end.is_some_and(|end| end != offset) {
            return Err(offset);
        }
        log.extend(records);
        drop(topics);
        self.changed.send_modify(|changes| *changes += 1);
        Ok(offset)
    }

    async fn serve(&self, mut conn: Conn) {
        while let Ok(head) = read_head(&mut conn).await {
            let Ok(body) = read_sized(&mut conn, &head).await else { return };
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let query: HashMap<&str, &str> = query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let (status, answer) = self.answer(path, &query, &body).await;
            let mut bytes = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n\r\n", answer.len()).into_bytes();
            bytes.extend_from_slice(&answer);
            if conn.get_mut().write_all(&bytes).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, path: &str, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let topic = query.get("topic").copied().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        if path == name("read") {
            return self.read(topic, number("source").unwrap_or_default(), number("wait_ms").unwrap_or_default()).await;
        }
        if path == name("newest") {
            return (200, self.newest(topic));
        }
        if path != name("append") {
            return (404, Vec::new());
        }
        match self.append(topic, split_records(body), number("timestamp")) {
            Ok(offset) => {
                let end = self.topics.lock().expect("no panic").get(topic).map_or(0, Vec::len);
                (200, json!({ "offset": offset, "end_offset": end }).to_string().into_bytes())
            },
            Err(end) => (412, json!({ "end_offset": end }).to_string().into_bytes()),
        }
    }

    async fn read(&self, topic: &str, from: usize, wait_ms: usize) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms as u64);
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let log = self.topics.lock().expect("no panic").get(topic).cloned().unwrap_or_default();
            if from > log.len() {
                return (410, json!({ "first_offset": 0 }).to_string().into_bytes());
            }
            if from < log.len() || timeout_at(until, changed.changed()).await.is_err() {
                let mut answer = (log.len() as u64).to_be_bytes().to_vec();
                answer.extend_from_slice(&0u64.to_be_bytes());
                for record in &log[from..] {
                    answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    answer.extend_from_slice(record);
                }
                return (200, answer);
            }
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let log = self.topics.lock().expect("no panic").get(topic).cloned().unwrap_or_default();
        let mut newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.insert(key.to_vec(), (offset, value.to_vec()));
        }
        let items = newest.into_iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<Value> = items
            .map(|(key, (offset, value))| {
                json!({
                    "private_key": String::from_utf8_lossy(&key), "value": STANDARD.encode(value), "offset": offset
                })
            })
            .collect();
        json!({ "items": items, "has_more": false, "end_offset": log.len() }).to_string().into_bytes()
    }
}

fn split_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = body.split_first_chunk::<4>() {
        let length = (u32::from_be_bytes(*length) as usize).min(rest.len());
        records.push(rest[..length].to_vec());
        body = &rest[length..];
    }
    records
}
