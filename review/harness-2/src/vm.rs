//! Router processes, started with the program and the template of the deploy file.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use tokio::time::{Instant, sleep};

use crate::{
    http::{End, connect, exchange},
    template::{common_fields, fill},
};

/// The program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/havengrade-published";
/// The deploy file's template for settings.
const TEMPLATE: &str = "deploy/settings.toml";
/// Ports of a process.
pub const PORTS: u16 = 5;

/// Where and how a router process is started.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Number of the machine, which its name holds.
    pub index: u16,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// First of its ports.
    pub base: u16,
    /// Address of the store.
    pub store: SocketAddr,
    /// Folder of its settings and its log.
    pub directory: PathBuf,
    /// Whether this is the very first start of the whole system.
    pub is_first_start: bool,
}

impl VmSettings {
    /// Name of the machine.
    pub fn name(&self) -> String {
        format!("vm-{}", self.index)
    }

    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::from((self.ip, self.base + offset))
    }

    /// Fills the template of the deploy file.
    fn fill_template(&self) -> String {
        let mut fields = common_fields();
        let own = [
            ("node", self.name()),
            ("zone", format!("zone-{}", self.index % 2)),
            ("bootstrap", self.is_first_start.to_string()),
            ("ip_address", self.ip.to_string()),
            ("internal_ports.0", self.base.to_string()),
            ("internal_ports.1", (self.base + 1).to_string()),
            ("listen.front", self.address(2).to_string()),
            ("listen.ready", self.address(3).to_string()),
            ("platform.address", self.store.to_string()),
        ];
        fields.extend(own.map(|(name, value)| (name.to_owned(), value)));
        let template = fs::read_to_string(TEMPLATE).expect("the template of the deploy file is there");
        // The metrics have a port of their own here, so that it is known to be free.
        fill(&template, &fields).replace(":9464", &format!(":{}", self.base + 4))
    }
}

/// A router process; dropping it ends the process.
pub struct Vm {
    /// How it was started.
    pub settings: VmSettings,
    child: Child,
}

impl Vm {
    /// Starts a router process with the program and the template of the deploy file.
    pub fn start(settings: VmSettings) -> Self {
        let path = |ending| settings.directory.join(format!("{}.{ending}", settings.name()));
        fs::write(path("toml"), settings.fill_template()).expect("the directory can be written");
        let log = File::options().create(true).append(true).open(path("log")).expect("the directory can be written");
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("HAVENGRADE_CONFIG", path("toml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file can be shared"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file is built");
        Self { settings, child }
    }

    /// Address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.settings.address(2)
    }

    /// Address of the readiness check.
    pub fn readiness(&self) -> SocketAddr {
        self.settings.address(3)
    }

    /// Address of the metrics.
    pub fn metrics(&self) -> SocketAddr {
        self.settings.address(4)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Resident memory in bytes; none once the process has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) {
        // Fails only if the process has ended.
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.id().to_string()).status();
    }

    /// Ends the process without a planned stop.
    pub fn kill(&mut self) {
        // A process that has ended can't be killed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the VM is ready; returns whether it was in time.
    pub async fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut conn) = connect(self.readiness()).await {
                let answer = exchange(&mut conn, b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n", limit).await;
                if answer.end == End::Whole && answer.status == 200 {
                    return true;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A loopback address.
pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the first of so many free ports in a row.
pub fn free_ports(count: u16) -> u16 {
    let first = 20_000 + (std::process::id() % 97) as u16 * 100;
    let is_free = |port: &u16| TcpListener::bind(local(*port)).is_ok() && UdpSocket::bind(local(*port)).is_ok();
    let mut starts = (first..60_000).step_by(usize::from(count));
    starts.find(|start| (*start..start + count).all(|port| is_free(&port))).expect("free ports")
}
