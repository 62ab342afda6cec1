//! LOST: during a planned stop, streams are broken off because their endpoint is silent for a time.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    Fault,
    client::{exchange, head},
    endpoint::Manner,
    record::Record,
    wire,
    world::World,
};

const STREAMS: usize = 8;
const EVENTS: u32 = 40;
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(50);
/// Silence in the middle of a stream, before this event.
const SILENCE: (u32, Duration) = (21, Duration::from_millis(2000));
/// Longest time that a stream may take; the end of one that reached it is excused.
const TIME_LIMIT: Duration = Duration::from_secs(20);
/// Time from the signal to the last sixth of the grace period, in which a stream that is still worked on may be cut.
const EXCUSED_FROM: Duration = Duration::from_millis(6666);

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut world = World::start(&[("pool", 64); 4], &wire::config(), record).await?;
    world.start_routers(6).await?;
    for endpoint in &world.endpoints {
        let silence = is_troubled.then_some(SILENCE);
        endpoint.set_manner(Manner { events: EVENTS, pause: PAUSE, silence, ..Manner::default() });
    }
    let callers = world.routers[0].callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (id, record) = (world.next_id(), record.clone());
            let request = head("POST", "/brief/1", &id, TIME_LIMIT, "Content-Length: 0\r\n");
            let sent = record.elapsed();
            record.line(&format!("{id} sent to vm-0"));
            tokio::spawn(async move {
                let answer = exchange(callers, request.as_bytes(), TIME_LIMIT).await;
                let events = String::from_utf8_lossy(&answer.body).matches("data:").count();
                let state = if answer.is_complete { "complete" } else { "its channel ends without a complete answer" };
                record.note(&format!("{id}: {}, {events} of {EVENTS} events, {state}", answer.status));
                (answer.is_complete || record.elapsed() >= sent + TIME_LIMIT, record.elapsed())
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    record.note("vm-0 gets SIGTERM");
    let signalled = record.elapsed();
    world.routers[0].signal("TERM")?;
    let mut lost = 0;
    for stream in streams {
        let (is_whole_or_excused, ended) = stream.await?;
        lost += usize::from(!is_whole_or_excused && ended < signalled + EXCUSED_FROM);
    }
    record.note(&format!("{lost} of {STREAMS} streams lost"));
    world.keep_logs();
    Ok(lost == 0)
}
