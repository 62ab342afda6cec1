//! A chat request that crashes each engine that runs it, at the router's own interface.
//!
//! Seen: by looking for the cause of the crashing request of published routes elsewhere. How it comes about: a repeat of the request is let in at any
//! VM as if it were the first. Cause: what a crash tells of a request is held by the attempt. Proof: below it ends more
//! engines than three, with VMs that hear each other all the time and a second between two attempts.
#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::BTreeSet, pin::pin, time::Duration};

use support::{Bench, chat};
use tokio::{select, time::sleep};

/// Time from the start of a request until its engine ends.
const FUSE: Duration = Duration::from_millis(5);
/// Time between two attempts of its caller.
const PAUSE: Duration = Duration::from_secs(1);

#[tokio::test(start_paused = true)]
async fn a_chat_request_under_which_three_engines_ended_is_sent_to_no_other() {
    let mut bench = Bench::start(2).await;
    let mut ended = BTreeSet::new();
    for attempt in 0..6 {
        let (caller, port) = (bench.caller("harvest"), bench.callers_port(attempt % 2));
        let ask = chat("lot-question", "deadly");
        let mut asked = pin!(caller.ask(port, &ask));
        loop {
            select! {
                biased;
                _ = &mut asked => break,
                () = sleep(FUSE) => {
                    let engines = bench.fleet.engines.iter();
                    let running = engines.filter(|(_, engine)| !engine.started().is_empty()).map(|(name, _)| name.clone());
                    let new: Vec<String> = running.filter(|name| !ended.contains(name)).collect();
                    new.iter().for_each(|name| bench.fleet.kill_stand_in(name));
                    ended.extend(new);
                },
            }
        }
        sleep(PAUSE).await;
    }
    println!("{} engines, ended: {ended:?}", bench.fleet.engines.len());
    assert!(ended.len() <= 3, "ended: {ended:?}");
}
