//! DRAIN: after an entry of another writer, no router follows the list of endpoints any longer.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{Fault, record::Record, wire, world::World};

/// Bound on the time for which requests may reach an endpoint that said that it is leaving.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// Time for which the endpoint that leaves serves on.
const OBSERVED: Duration = Duration::from_millis(6000);
/// Time after a restart in which service has to be back.
const RECOVERY: Duration = Duration::from_secs(12);

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut world = World::start(&[("desk", 6); 3], &wire::config(), record).await?;
    world.start_routers(6).await?;
    ask_all(&world, 60).await;
    if is_troubled {
        // A floating-point number, where endpoints write whole milliseconds.
        let entry = json!({
            "service": "desk", "address": "127.0.0.1:9", "zone": "d0", "version": "v1", "slots": 6, "state": "ready",
            "cold_remaining_ms": 1e300, "sequence": 1,
        });
        world.store.put(wire::name("endpoints_topic"), "inventory-1", Some(&entry.to_string()));
        record.note(&format!("another writer adds the entry inventory-1 {entry}"));
    }
    sleep(Duration::from_secs(2)).await;
    let acknowledged = world.set_state(0, "draining");
    while record.elapsed() < acknowledged + OBSERVED {
        ask_all(&world, 6).await;
    }
    let late = world.endpoints[0].runs().iter().filter(|run| run.arrived > acknowledged + DRAIN_TIME).count();
    record.note(&format!("{late} requests reached e-0 more than {DRAIN_TIME:?} after the store took its state"));
    // Not part of the check: what is left after a restart of all routers.
    for router in &mut world.routers {
        router.restart()?;
    }
    sleep(RECOVERY).await;
    let served = ask_all(&world, 60).await;
    record.note(&format!("{RECOVERY:?} after all routers were restarted, {served} of 60 requests are served"));
    world.keep_logs();
    Ok(late == 0)
}

/// Sends requests to all routers in turn; returns how many were served.
async fn ask_all(world: &World, requests: usize) -> usize {
    let mut served = 0;
    for router in (0..world.routers.len()).cycle().take(requests) {
        served += usize::from(world.ask(router, "/lookup/1").await.status == 200);
        sleep(Duration::from_millis(20)).await;
    }
    served
}
