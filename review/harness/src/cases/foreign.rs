//! ROUTE: an endpoint of another service runs requests because of an incomplete entry of another writer.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{Fault, record::Record, wire, world::World};

/// Index of the first endpoint of the other service.
const OTHER: usize = 3;

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut world =
        World::start(&[("desk", 6), ("desk", 6), ("desk", 6), ("pool", 64), ("pool", 64)], &wire::config(), record)
            .await?;
    world.start_routers(6).await?;
    for round in 0..200 {
        if is_troubled && round == 20 {
            let other = &world.endpoints[OTHER];
            // Without version, time for which it is cold, and sequence.
            let entry =
                json!({ "service": "desk", "address": other.address, "zone": "d0", "slots": 6, "state": "ready" });
            world.store.put(wire::name("endpoints_topic"), &other.id, Some(&entry.to_string()));
            record.note(&format!("another writer adds the entry {} {entry}", other.id));
        }
        world.ask(round % world.routers.len(), "/lookup/1").await;
        sleep(Duration::from_millis(10)).await;
    }
    let foreign: usize = world.endpoints[OTHER..].iter().map(|endpoint| endpoint.runs().len()).sum();
    record.note(&format!("endpoints of the service pool ran {foreign} requests of a route to the service desk"));
    world.keep_logs();
    Ok(foreign == 0)
}
