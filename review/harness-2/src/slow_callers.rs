//! Callers who read large answers slowly: does a VM stay within its memory?

use std::{process::ExitCode, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpSocket,
    time::{Instant, sleep},
};

use crate::{
    http::Conn,
    site::{Reply, Site, config, has_trouble, request, route, signed},
    template::common_fields,
};

/// Callers of the VM.
const CALLERS: usize = 48;
/// Size of each answer: that of the largest body which the configuration permits to callers.
const ANSWER_BYTES: usize = 4 << 20;
/// What a slow caller reads at a time, and how long it rests then.
const READ_BYTES: usize = 16 << 10;
const REST: Duration = Duration::from_millis(100);
/// Receive buffer of a caller, as small as the window of a slow link.
const WINDOW_BYTES: u32 = 32 << 10;
/// Time limit of the route, and of callers.
const TIME_LIMIT_MS: u64 = 4000;
/// Time for which callers read.
const OBSERVED: Duration = Duration::from_secs(15);

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    let body: Arc<[u8]> = vec![b'x'; ANSWER_BYTES].into();
    let answering = Arc::new(move |own: &str, head: &crate::http::Head| -> Reply {
        Reply::Whole(signed(own, head, 200, &body).into())
    });
    let config = config(1, &[route("report", "idempotent", 2, TIME_LIMIT_MS)]);
    let Some(mut site) = Site::start(record, &config, 4, 2, answering).await else { return ExitCode::from(2) };
    let limit_mb: u64 = common_fields()["limits.memory_mb"].parse().expect("a number");
    let rest = if has_trouble() { REST } else { Duration::ZERO };
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (to, record) = (site.vms[0].callers(), site.record.clone());
        callers.push(tokio::spawn(async move {
            let read = read_slowly(to, &format!("r-{caller}"), rest).await;
            record.line(&format!("r-{caller} read {} bytes, {}", read.0, if read.1 { "whole" } else { "not whole" }));
        }));
        sleep(Duration::from_millis(50)).await;
    }
    let began = Instant::now();
    let mut most = 0;
    let mut has_ended = false;
    while began.elapsed() < OBSERVED {
        has_ended |= !site.vms[0].is_running();
        let bytes = site.vms[0].resident_bytes().unwrap_or_default();
        most = most.max(bytes);
        site.record.line(&format!("vm-0 keeps {} MB", bytes >> 20));
        sleep(Duration::from_millis(500)).await;
    }
    callers.iter().for_each(tokio::task::JoinHandle::abort);
    let is_broken = has_ended || most > limit_mb << 20;
    site.record.line(&format!("vm-0 kept {} MB at most; its limit is {limit_mb} MB", most >> 20));
    println!("vm-0 kept {} MB at most; its limit is {limit_mb} MB", most >> 20);
    ExitCode::from(u8::from(is_broken))
}

/// Sends a request and reads its answer, with a rest after each read; returns the bytes that came and whether all did.
async fn read_slowly(to: std::net::SocketAddr, id: &str, rest: Duration) -> (usize, bool) {
    let socket = TcpSocket::new_v4().expect("a socket");
    if !rest.is_zero() {
        socket.set_recv_buffer_size(WINDOW_BYTES).expect("a buffer size");
    }
    let Ok(stream) = socket.connect(to).await else { return (0, false) };
    let mut conn = Conn::new(stream);
    if conn.get_mut().write_all(&request(id, "GET", "/report/1", TIME_LIMIT_MS, b"")).await.is_err() {
        return (0, false);
    }
    let mut buf = vec![0; READ_BYTES];
    let mut total = 0;
    while total < ANSWER_BYTES {
        match conn.read(&mut buf).await {
            Ok(0) | Err(_) => return (total, false),
            Ok(bytes) => total += bytes,
        }
        if !rest.is_zero() {
            sleep(rest).await;
        }
    }
    (total, true)
}
