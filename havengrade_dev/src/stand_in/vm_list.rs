//! A stand-in for the platform's VM list, which lags.

use std::{sync::Mutex, time::Duration};

use async_trait::async_trait;
use havengrade_router::{platform::VmListing, shared::lock};
use hyper::StatusCode;
use tokio::time::Instant;

use super::server::{Call, Handler, Reply, json};

/// The VM list: what is set shows only after a lag.
pub struct VmListStandIn {
    lag: Duration,
    history: Mutex<Vec<(Instant, VmListing)>>,
}

impl VmListStandIn {
    /// A list that shows changes after a lag; the first one shows at once.
    pub fn new(lag: Duration, listing: VmListing) -> Self {
        let long_ago = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        Self { lag, history: Mutex::new(vec![(long_ago, listing)]) }
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut VmListing)) {
        let mut history = lock(&self.history);
        let mut listing = history.last().map(|(_, listing)| listing.clone()).unwrap_or_default();
        change(&mut listing);
        history.push((Instant::now(), listing));
    }

    fn visible(&self) -> VmListing {
        let history = lock(&self.history);
        let is_visible = |at: &Instant| at.elapsed() >= self.lag;
        let visible = history.iter().rev().find(|(at, _)| is_visible(at)).or(history.first());
        visible.map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

#[async_trait]
impl Handler for VmListStandIn {
    async fn handle(&self, _call: Call) -> Reply {
        json(StatusCode::OK, &serde_json::to_value(self.visible()).unwrap_or_default())
    }
}
