//! CONFIG: requests that a router relays to another one are held past their time limit while that one is frozen.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{
    Fault,
    client::{exchange, head},
    endpoint::Manner,
    record::Record,
    wire,
    world::World,
};

const STREAMS: usize = 60;
const EVENTS: u32 = 12;
/// Time between two events, so that a stream takes 1.2 s.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which the endpoints want nothing from one router.
const REST_S: u32 = 20;
/// Longest time that the operators want a request to be held.
const TIME_LIMIT: Duration = Duration::from_millis(3000);
/// Time after that in which there has to be an end.
const SLACK: Duration = Duration::from_millis(500);
/// Time for which callers wait.
const DEADLINE: Duration = Duration::from_millis(8000);
const FREEZE: Duration = Duration::from_millis(4000);
/// Number of requests from which on the rule counts those without an end.
const MIN_COUNTED: usize = 8;

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut config = wire::config();
    for route in config["routes"].as_array_mut().into_iter().flatten().filter(|route| route["name"] == "brief") {
        route["timeout_ms"] = json!(TIME_LIMIT.as_millis());
        route["resumable"] = json!(true);
    }
    let mut world = World::start(&[("pool", 64); 4], &config, record).await?;
    world.start_routers(6).await?;
    for endpoint in &world.endpoints {
        endpoint.set_manner(Manner { rests_s: Some(REST_S), ..Manner::default() });
    }
    // Each of the endpoints turns one request of vm-0 away.
    world.ask(0, "/brief/1").await;
    world.ask(0, "/brief/1").await;
    for endpoint in &world.endpoints {
        endpoint.set_manner(Manner { events: EVENTS, pause: PAUSE, ..Manner::default() });
    }
    let callers = world.routers[0].callers;
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| {
            let (id, record, sent) = (world.next_id(), record.clone(), record.elapsed());
            let request = head("POST", "/brief/1", &id, DEADLINE, "Content-Length: 0\r\n");
            record.line(&format!("{id} sent to vm-0"));
            tokio::spawn(async move {
                let answer = exchange(callers, request.as_bytes(), DEADLINE).await;
                let took = record.elapsed() - sent;
                let events = String::from_utf8_lossy(&answer.body).matches("data:").count();
                let state = if answer.is_complete { "complete" } else { "not complete" };
                record.line(&format!("{id}: {}, {events} of {EVENTS} events, {state} after {took:?}", answer.status));
                took
            })
        })
        .collect();
    sleep(Duration::from_millis(500)).await;
    let relayed = |index: usize| {
        world.routers[0].count_lines(&["request relayed to another VM", &format!("\"{}\"", world.routers[index].name)])
    };
    let relayed: Vec<(usize, usize)> = (1..world.routers.len()).map(|index| (relayed(index), index)).collect();
    record.note(&format!("vm-0 has relayed (requests, to VM): {relayed:?}"));
    let Some((_, frozen)) = relayed.into_iter().max() else { return Err("no other router".into()) };
    if is_troubled {
        record.note(&format!("vm-{frozen} is stopped"));
        world.routers[frozen].signal("STOP")?;
        sleep(FREEZE).await;
        world.routers[frozen].signal("CONT")?;
        record.note(&format!("vm-{frozen} goes on"));
    }
    let (mut past_limit, mut late) = (0, 0);
    for stream in streams {
        let took = stream.await?;
        past_limit += usize::from(took > TIME_LIMIT);
        late += usize::from(took > TIME_LIMIT + SLACK);
    }
    record
        .note(&format!("{past_limit} of {STREAMS} streams ran past {TIME_LIMIT:?}, {late} had no end {SLACK:?} later"));
    world.keep_logs();
    Ok(late < MIN_COUNTED || late * 4 <= past_limit)
}
