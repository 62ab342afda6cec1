//! UNASKED: a request that is hidden in the head of another one.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    Fault,
    client::{exchange, head},
    record::Record,
    wire,
    world::World,
};

const REQUESTS: usize = 20;
const DEADLINE: Duration = Duration::from_millis(2500);

pub(crate) async fn run(is_troubled: bool, record: &Record) -> Result<bool, Fault> {
    let mut world = World::start(&[("desk", 6); 3], &wire::config(), record).await?;
    world.start_routers(6).await?;
    let mut sent = Vec::new();
    for (index, router) in world.routers.iter().cycle().take(REQUESTS).enumerate() {
        let id = world.next_id();
        let hidden = head("POST", "/receipt/1", &format!("hidden-{index}"), DEADLINE, "Content-Length: 0\r\n");
        // Two bare line feeds; the first empty line that ends with CRLF is that behind the hidden head.
        let note = if is_troubled { format!("X-Note: a\n\n{}", hidden.trim_end()) } else { "X-Note: a".to_owned() };
        let request = head("GET", "/lookup/1", &id, DEADLINE, &format!("{note}\r\n"));
        let answer = exchange(router.callers, request.as_bytes(), DEADLINE).await;
        record.line(&format!("{id} at {}: {} {:?}", router.name, answer.status, String::from_utf8_lossy(&answer.raw)));
        sent.push(id);
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_secs(1)).await;
    let runs = world.endpoints.iter().flat_map(|endpoint| endpoint.runs());
    let unasked: Vec<String> = runs.map(|run| run.request).filter(|id| !sent.contains(id)).collect();
    record.note(&format!("{} requests ran that no caller sent: {unasked:?}", unasked.len()));
    world.keep_logs();
    Ok(unasked.is_empty())
}
