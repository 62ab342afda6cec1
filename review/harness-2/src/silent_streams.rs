//! Streams whose endpoints are silent for a while during a planned stop, while the other endpoints are full: do they come
//! whole?

use std::{process::ExitCode, sync::Arc, time::Duration};

use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use crate::{
    http::{End, Head, connect, exchange},
    names::name,
    site::{Reply, Site, config, has_trouble, request, route, signed},
};

/// Endpoints of the service.
const ENDPOINTS: u16 = 4;
/// Streams, of which so many first ones have a silence.
const STREAMS: u32 = 12;
const SILENT_STREAMS: u32 = 3;
/// Events of each, the pause after each, and the silence after the second.
const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(100);
const SILENCE: Duration = Duration::from_millis(2000);
/// Time in which a full endpoint rejects a request.
const REJECTION_TIME: Duration = Duration::from_millis(500);
/// Plain requests before the streams, by which the router earns its retries, and the time between two of them.
const PLAIN_REQUESTS: u32 = 300;
const PLAIN_PAUSE: Duration = Duration::from_millis(15);
/// Time from the streams until the planned stop begins.
const STOP_DELAY: Duration = Duration::from_millis(500);
/// Time limit of the streams, and of callers.
const TIME_LIMIT_MS: u64 = 20_000;
/// Last sixth of the grace period of 8 s, from which the rule excuses streams at which an endpoint still works.
const EXCUSED_FROM: Duration = Duration::from_millis(6600);

/// Runs the case.
pub async fn run(record: &str) -> ExitCode {
    let silence = if has_trouble() { SILENCE } else { PAUSE };
    let answering = Arc::new(move |own: &str, head: &Head| -> Reply {
        if head.path().starts_with("/plain/") {
            return Reply::Whole(signed(own, head, 200, b"done").into());
        }
        // All places are taken by the streams that have begun.
        if !head.get("last-event-id").is_empty() {
            return Reply::LateRejection(REJECTION_TIME);
        }
        let number: u32 =
            head.get(name("id")).rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or_default();
        let silence = if number < SILENT_STREAMS { silence } else { PAUSE };
        Reply::Silent { events: EVENTS, pause: PAUSE, silence }
    });
    let mut note = route("note", "streaming", 3, TIME_LIMIT_MS);
    note["resumable"] = json!(true);
    note["gap_target_ms"] = json!(800);
    let config = config(1, &[note, route("plain", "idempotent", 2, 4000)]);
    let Some(site) = Site::start(record, &config, ENDPOINTS, 2, answering).await else { return ExitCode::from(2) };
    let callers = site.vms[0].callers();
    let Ok(mut conn) = connect(callers).await else { return ExitCode::from(2) };
    for number in 0..PLAIN_REQUESTS {
        let sent = request(&format!("plain-{number}"), "GET", "/plain/1", 4000, b"");
        if exchange(&mut conn, &sent, Duration::from_secs(4)).await.end != End::Whole {
            return ExitCode::from(2);
        }
        sleep(PLAIN_PAUSE).await;
    }
    let began = Instant::now();
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let record = site.record.clone();
        streams.push(tokio::spawn(async move {
            let id = format!("note-{number}");
            let Ok(mut conn) = connect(callers).await else { return (began, false) };
            let sent = request(&id, "POST", "/note/1", TIME_LIMIT_MS, b"a note");
            let answer = exchange(&mut conn, &sent, Duration::from_millis(TIME_LIMIT_MS)).await;
            let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
            record.line(&format!("{id}: {} {:?}, {events} of {EVENTS} events", answer.status, answer.end));
            let is_whole = answer.status == 200 && answer.end == End::Whole && events == EVENTS as usize;
            (Instant::now(), is_whole)
        }));
    }
    sleep_until(began + STOP_DELAY).await;
    site.record.line("vm-0 gets SIGTERM");
    let stopped = Instant::now();
    site.vms[0].signal("TERM");
    let (mut whole, mut lost) = (0, 0);
    for stream in streams {
        let Ok((ended, is_whole)) = stream.await else { return ExitCode::from(2) };
        whole += u32::from(is_whole);
        lost += u32::from(!is_whole && ended < stopped + EXCUSED_FROM);
    }
    let text = format!("{whole} of {STREAMS} streams came whole, {lost} were closed before their end");
    site.record.line(&text);
    println!("{text}");
    ExitCode::from(u8::from(lost > 0))
}
