//! A small deployment on loopback: store, endpoints and routers, with a record of what happens.

use std::{
    fs::{self, File},
    io::{self, Write as _},
    net::Ipv4Addr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{
    io::AsyncWriteExt as _,
    net::TcpListener,
    time::{Instant, sleep},
};

use crate::{
    http::{Conn, Head, read_head, read_sized},
    names::name,
    store::Store,
    vm::{PORTS, Vm, VmSettings, free_ports, local},
};

/// Interval at which an endpoint renews its entry.
const RENEWAL: Duration = Duration::from_millis(1200);
/// Service of all routes.
pub const SERVICE: &str = "desk";
/// Host of all routes.
pub const HOST: &str = "office.example";

/// The record of a run: what was sent, answered and run, with the seconds since its start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:9.3}  {text}\n", self.began.elapsed().as_secs_f64());
        self.file.lock().expect("no panic").write_all(line.as_bytes()).expect("the record can be written");
    }
}

/// What an endpoint answers.
pub enum Reply {
    /// These bytes.
    Whole(Arc<[u8]>),
    /// These bytes, after a time.
    Late(Arc<[u8]>, Duration),
    /// A stream of so many events, with a pause after each.
    Events(u32, Duration),
    /// A stream of so many events, with a short pause after each and a long one after the second.
    Silent { events: u32, pause: Duration, silence: Duration },
    /// That the request has not run, after a time.
    LateRejection(Duration),
}

/// What an endpoint does with a request.
pub type Answering = Arc<dyn Fn(&str, &Head) -> Reply + Send + Sync>;

/// A running deployment; dropping it ends its processes.
pub struct Site {
    /// The store.
    pub store: Arc<Store>,
    /// The routers.
    pub vms: Vec<Vm>,
    /// The record.
    pub record: Arc<Record>,
    /// Temporary folder for settings and logs.
    pub directory: PathBuf,
}

impl Site {
    /// Starts the store with a first configuration, the endpoints and the routers, and waits until these are ready.
    pub async fn start(record: &str, config: &Value, endpoints: u16, vms: u16, answering: Answering) -> Option<Self> {
        let record = Record { began: Instant::now(), file: Mutex::new(File::create(record).expect("a record")) };
        let record = Arc::new(record);
        let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&directory).expect("a temporary folder");
        let base = free_ports(1 + endpoints + PORTS);
        let store = Store::start(local(base)).await;
        store.put(name("operators"), "config", config);
        for index in 0..endpoints {
            start_endpoint(&store, index, base + 1 + index, &record, &answering).await;
        }
        let first = base + 1 + endpoints;
        let settings = |index: u16| VmSettings {
            index,
            ip: machine_ip(index),
            base: first,
            store: local(base),
            directory: directory.clone(),
            is_first_start: true,
        };
        let vms = (0..vms).map(|index| Vm::start(settings(index))).collect();
        let site = Self { store, vms, record, directory };
        for vm in &site.vms {
            if !vm.wait_ready(Duration::from_secs(20)).await {
                site.record.line(&format!("{} was not ready in 20 s", vm.settings.name()));
                return None;
            }
        }
        site.record.line("all VMs are ready");
        Some(site)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.vms.clear();
        // What is left behind is in the temporary folder.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

async fn start_endpoint(store: &Arc<Store>, index: u16, port: u16, record: &Arc<Record>, answering: &Answering) {
    let id = format!("e-{index}");
    let listener = TcpListener::bind(local(port)).await.expect("the endpoint's port is free");
    let (own, record, answering) = (id.clone(), record.clone(), answering.clone());
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (own, record, answering) = (own.clone(), record.clone(), answering.clone());
            let _ = stream.set_nodelay(true);
            tokio::spawn(async move { serve(Conn::new(stream), &own, &record, &answering).await });
        }
    });
    let store = store.clone();
    tokio::spawn(async move {
        for sequence in 1.. {
            let entry = json!({
                "service": SERVICE, "address": local(port).to_string(), "zone": format!("zone-{}", index % 2),
                "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
                "born": 1_700_000_000_000u64,
            });
            store.put(name("endpoints"), &id, &entry);
            sleep(RENEWAL).await;
        }
    });
}

async fn serve(mut conn: Conn, own: &str, record: &Record, answering: &Answering) {
    while let Ok(head) = read_head(&mut conn).await {
        if read_sized(&mut conn, &head).await.is_err() {
            return;
        }
        let expected = head.get(name("instance"));
        if !expected.is_empty() && expected != own {
            if conn.get_mut().write_all(b"HTTP/1.1 421 -\r\ncontent-length: 0\r\n\r\n").await.is_err() {
                return;
            }
            continue;
        }
        record.line(&format!("{own} runs {} {}", head.get(name("id")), head.start));
        let sent = match answering(own, &head) {
            Reply::Whole(bytes) => conn.get_mut().write_all(&bytes).await,
            Reply::Late(bytes, delay) => {
                sleep(delay).await;
                conn.get_mut().write_all(&bytes).await
            },
            Reply::Events(events, pause) => send_events(&mut conn, own, &head, events, pause, pause).await,
            Reply::Silent { events, pause, silence } => {
                send_events(&mut conn, own, &head, events, pause, silence).await
            },
            Reply::LateRejection(delay) => {
                sleep(delay).await;
                conn.get_mut().write_all(&rejection(&head)).await
            },
        };
        if sent.is_err() {
            return;
        }
    }
}

/// Sends the events that follow the last one which the request names.
async fn send_events(
    conn: &mut Conn,
    own: &str,
    head: &Head,
    events: u32,
    pause: Duration,
    pause_after_second: Duration,
) -> io::Result<()> {
    let answer = format!(
        "HTTP/1.1 200 -\r\n{}: {}\r\n{}: {own}\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n",
        name("id"),
        head.get(name("id")),
        name("signature"),
    );
    conn.get_mut().write_all(answer.as_bytes()).await?;
    let last = head.get("last-event-id").parse().unwrap_or(0u32);
    for number in last + 1..=events {
        let event = format!("id: {number}\ndata: event {number}\n\n");
        conn.get_mut().write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await?;
        sleep(if number == 2 { pause_after_second } else { pause }).await;
    }
    conn.get_mut().write_all(b"0\r\n\r\n").await
}

/// The answer of a full endpoint.
fn rejection(head: &Head) -> Vec<u8> {
    let id = head.get(name("id"));
    let answer =
        format!("HTTP/1.1 503 -\r\n{}: {id}\r\n{}: 1\r\ncontent-length: 0\r\n\r\n", name("id"), name("not_run"));
    answer.into_bytes()
}

/// Address of a machine.
pub fn machine_ip(index: u16) -> Ipv4Addr {
    let [high, low] = (index + 1).to_be_bytes();
    Ipv4Addr::new(127, 1, high, low)
}

/// Builds the answer of an endpoint, with its signature and the id of the request.
pub fn signed(own: &str, head: &Head, status: u16, body: &[u8]) -> Vec<u8> {
    let mut answer = format!(
        "HTTP/1.1 {status} -\r\n{}: {}\r\n{}: {own}\r\ncontent-length: {}\r\n\r\n",
        name("id"),
        head.get(name("id")),
        name("signature"),
        body.len()
    )
    .into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// A configuration with these routes.
pub fn config(version: u64, routes: &[Value]) -> Value {
    json!({
        "version": version,
        "routes": routes,
        "services": [{ "name": SERVICE, "maximum_connections": 400 }],
        "limits": {
            "header_bytes": 16384, "body_bytes": 4_194_304, "header_timeout_ms": 3000, "idle_timeout_ms": 10000
        },
    })
}

/// A route whose path begins with its name.
pub fn route(path: &str, kind: &str, attempts: u32, timeout_ms: u64) -> Value {
    let mut route = json!({
        "name": path, "host": HOST, "path_prefix": format!("/{path}/"), "kind": kind, "service": SERVICE,
        "timeout_ms": timeout_ms, "attempts": attempts, "priority": 1,
    });
    route[name("target")] = json!(300);
    route
}

/// Builds a request.
pub fn request(id: &str, method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {id}\r\n{}: {deadline_ms}\r\ncontent-length: {}\r\n\r\n",
        name("id"),
        name("deadline"),
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    request
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
