//! How each fault is caused.

use std::{sync::Arc, time::Duration};

use havengrade_router::platform::LogStream;
use tokio::time::sleep;

use super::{CALLERS, Fault, FaultKind, Run};
use crate::{
    fabric::Host,
    fleet::{log_host, router_host, vm_list_host, vm_name},
    history::Event,
    scenario::CHEAP,
    stand_in::{EngineFault, LogFault, ServiceFault},
};

impl Run {
    /// Causes a fault when its time has come, and ends it.
    pub(super) async fn cause(self: &Arc<Self>, fault: Fault) {
        sleep(Duration::from_millis(fault.at_ms)).await;
        let lasts = Duration::from_millis(fault.for_ms);
        match fault.kind {
            FaultKind::LogDown => self.log_fault(LogFault::Down, lasts).await,
            FaultKind::LogSilent => self.log_fault(LogFault::Silent, lasts).await,
            FaultKind::LogSlow => self.log_fault(LogFault::Slow(Duration::from_millis(400)), lasts).await,
            FaultKind::LogLosesAnswers => self.log_fault(LogFault::LosesAnswers, lasts).await,
            FaultKind::KillVm => self.kill_and_replace(fault.vm, lasts).await,
            FaultKind::Freeze => self.cut(&self.all_others(fault.vm), router_host(fault.vm), true, true, lasts).await,
            FaultKind::CutFromPeers => self.cut(&self.peers(fault.vm), router_host(fault.vm), true, false, lasts).await,
            FaultKind::CutToPeers => self.cut(&self.peers(fault.vm), router_host(fault.vm), false, true, lasts).await,
            FaultKind::CutFromLog => self.cut(&[log_host()], router_host(fault.vm), false, true, lasts).await,
            FaultKind::KillEngine => self.fleet.lock().await.kill_stand_in("engine-2"),
            FaultKind::BreakStreams => self.break_streams().await,
            FaultKind::LoseAnswers => self.lose_answers().await,
            FaultKind::Withdraw => self.withdraw().await,
            FaultKind::Leave => self.leave().await,
            FaultKind::Drain => self.drain(fault.vm).await,
            FaultKind::ListAway => {
                let vms: Vec<Host> = (0..self.schedule.vms).map(router_host).collect();
                self.cut(&vms, vm_list_host(), true, true, lasts).await;
            },
            FaultKind::ReplaceAll => {
                for vm in 0..self.schedule.vms {
                    self.kill_and_replace(vm, lasts / u32::from(self.schedule.vms)).await;
                }
            },
        }
    }

    async fn log_fault(&self, fault: LogFault, lasts: Duration) {
        let log = self.fleet.lock().await.log.clone();
        log.set_fault(fault);
        sleep(lasts).await;
        log.set_fault(LogFault::None);
    }

    async fn kill_and_replace(&self, vm: u8, lasts: Duration) {
        self.fleet.lock().await.kill_router(vm);
        sleep(lasts).await;
        self.restart(vm).await;
    }

    async fn restart(&self, vm: u8) {
        // Two faults may replace one VM at once; then the second finds its port taken and leaves it.
        let _ = self.fleet.lock().await.start_router(vm).await;
    }

    fn peers(&self, vm: u8) -> Vec<Host> {
        (0..self.schedule.vms).filter(|other| *other != vm).map(router_host).collect()
    }

    fn all_others(&self, vm: u8) -> Vec<Host> {
        (1..=CALLERS).filter(|host| *host != router_host(vm)).collect()
    }

    /// Stops what a host sends to others, or others to it, for a time.
    async fn cut(&self, others: &[Host], host: Host, from: bool, to: bool, lasts: Duration) {
        for other in others {
            if from {
                self.pipes.cut(host, *other);
            }
            if to {
                self.pipes.cut(*other, host);
            }
        }
        sleep(lasts).await;
        self.pipes.mend_host(host);
    }

    async fn break_streams(&self) {
        let fleet = self.fleet.lock().await;
        for (number, engine) in (0..).zip(fleet.engines.values()) {
            engine.add_fault(EngineFault::BreaksAfter(2 + number));
            engine.add_fault(EngineFault::DiesAfter(3));
            engine.add_fault(EngineFault::Refuses);
        }
    }

    async fn lose_answers(&self) {
        let fleet = self.fleet.lock().await;
        for service in fleet.services.values() {
            service.add_fault(ServiceFault::LosesAnswer);
            service.add_fault(ServiceFault::Slow(Duration::from_secs(8)));
        }
    }

    async fn withdraw(&self) {
        const PAUSE: Duration = Duration::from_millis(100);
        let log = self.fleet.lock().await.log.clone();
        // Nothing can be accepted while the log is away.
        while !log.takes_appends() {
            sleep(PAUSE).await;
        }
        self.fleet.lock().await.withdraw_at_once("withdraw", CHEAP);
        let offset = log.records(LogStream::Config).len() as u64 - 1;
        // An operator is told "accepted" once a VM has read the change back.
        while !self.is_read(offset).await {
            sleep(PAUSE).await;
        }
        let at_ms = self.now_ms();
        self.recorder.note(Event::Withdrawn { at_ms, version: CHEAP.to_owned() });
        self.recorder.note(Event::Accepted { at_ms, offset });
    }

    async fn is_read(&self, offset: u64) -> bool {
        let fleet = self.fleet.lock().await;
        fleet.routers.values().any(|router| router.context().shared.config_next() > offset)
    }

    async fn leave(&self) {
        let fleet = self.fleet.lock().await;
        fleet.engines["engine-1"].leave();
        self.recorder.note(Event::Leaving { at_ms: self.now_ms(), endpoint: "engine-1".to_owned() });
    }

    async fn drain(&self, vm: u8) {
        const PAUSE: Duration = Duration::from_millis(100);
        // A process that is paused does not see the signal; requests on their way to it are not there yet.
        while self.pipes.is_host_cut(router_host(vm)) {
            sleep(PAUSE).await;
        }
        let taken = self.fleet.lock().await.routers.remove(&vm_name(vm));
        let Some(router) = taken else { return };
        router.context().shared.start_drain();
        self.recorder.note(Event::DrainBegan { at_ms: self.now_ms(), vm: vm_name(vm) });
        router.wait_for_drain().await;
        self.recorder.note(Event::DrainEnded { at_ms: self.now_ms(), vm: vm_name(vm) });
        router.stop().await;
        self.restart(vm).await;
    }
}
