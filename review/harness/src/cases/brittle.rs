//! LIMIT: brittle endpoints fall over when many callers come to one router at once.

use std::time::Duration;

use tokio::time::sleep;

use crate::{Fault, endpoint::Manner, record::Record, wire, world::World};

/// Requests that an endpoint runs at the same time.
const SLOTS: usize = 6;
/// Requests that wait at an endpoint beside them, before it lets none wait.
const QUEUE: usize = 24;
/// Requests that an endpoint may turn away in a second.
const TOLERATED: usize = 6;
const ANSWER_TIME: Duration = Duration::from_millis(100);
/// Callers who come at once.
const BURST: usize = 60;
/// Time after the endpoints first said that they are brittle from which they let none wait.
const CONTACT: Duration = Duration::from_millis(3000);

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut world = World::start(&[("desk", 6); 3], &wire::config(), record).await?;
    world.start_routers(6).await?;
    set_manner(&world, is_troubled, SLOTS + QUEUE);
    send_steadily(&world, CONTACT + Duration::from_millis(500)).await;
    set_manner(&world, is_troubled, SLOTS);
    record.note("the endpoints let no request wait from now on");
    send_steadily(&world, Duration::from_millis(1000)).await;
    record.note(&format!("{BURST} callers come to vm-0 at once"));
    for _ in 0..BURST {
        tokio::spawn(world.ask(0, "/lookup/1"));
    }
    sleep(Duration::from_secs(3)).await;
    let falls: usize = world.endpoints.iter().map(|endpoint| endpoint.falls()).sum();
    record.note(&format!("{} endpoints fell over {falls} times", world.endpoints.len()));
    world.keep_logs();
    Ok(falls as f64 <= 2.0 + world.endpoints.len() as f64 / 10.0)
}

fn set_manner(world: &World, is_brittle: bool, room: usize) {
    for endpoint in &world.endpoints {
        let brittle = is_brittle.then_some(TOLERATED);
        endpoint.set_manner(Manner { answer_time: ANSWER_TIME, room: Some(room), brittle, ..Manner::default() });
    }
}

/// Sends twenty requests a second to one router for a time.
async fn send_steadily(world: &World, time: Duration) {
    let until = world.record.elapsed() + time;
    while world.record.elapsed() < until {
        tokio::spawn(world.ask(0, "/lookup/1"));
        sleep(Duration::from_millis(50)).await;
    }
}
