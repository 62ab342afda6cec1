//! Routers that run as processes of their own, each with a settings file and a log in a directory.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use serde_json::{Map, Value};

/// A router that runs as a process; dropping it ends the process.
pub struct RouterProcess {
    vm: String,
    directory: PathBuf,
    child: Child,
}

impl RouterProcess {
    /// Starts a program with settings; its standard output is appended to `VM.log` in the directory.
    ///
    /// # Errors
    ///
    /// Those of the file system, and of starting the program.
    pub fn start(program: &Path, vm: &str, settings: &str, directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        let file = directory.join(format!("{vm}.toml"));
        fs::write(&file, settings)?;
        let log = File::options().create(true).append(true).open(directory.join(format!("{vm}.log")))?;
        let errors = log.try_clone()?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self { vm: vm.to_owned(), directory: directory.to_owned(), child })
    }

    /// Process id, for signals.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process without a planned stop.
    ///
    /// # Errors
    ///
    /// Those of the system.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(drop)
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// The lines of its log whose message begins with `message`, as their fields.
    ///
    /// # Errors
    ///
    /// Those of the file system.
    pub fn log_lines(&self, message: &str) -> io::Result<Vec<Map<String, Value>>> {
        let log = fs::read_to_string(self.directory.join(format!("{}.log", self.vm)))?;
        let lines = log.lines().filter_map(|line| serde_json::from_str::<Map<String, Value>>(line).ok());
        let begins = |line: &Map<String, Value>| {
            let text = line.get("message").and_then(Value::as_str).unwrap_or_default();
            text.starts_with(message)
        };
        Ok(lines.filter(begins).collect())
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // A process that has ended already can't be killed, which is what is wanted.
        let _ = self.kill();
    }
}

/// Findings of a run by hand, printed as they come.
#[derive(Debug, Default)]
pub struct Findings {
    failed: usize,
}

impl Findings {
    /// Prints whether an expectation holds, with what was seen.
    pub fn check(&mut self, expected: &str, holds: bool, seen: &str) {
        let verdict = if holds { "ok    " } else { "FAILED" };
        println!("{verdict} {expected}: {seen}");
        self.failed += usize::from(!holds);
    }

    /// Number of expectations that did not hold.
    pub fn failed(&self) -> usize {
        self.failed
    }
}
