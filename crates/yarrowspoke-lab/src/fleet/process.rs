//! Processes of the program: started, stopped, woken, killed and started again under their names.

use crate::scale::bounds::spawn;
use rustix::process::{kill_process, Pid, Signal};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// One process of the program, by name; ended when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name.
    pub name: String,
    program: PathBuf,
    args: Vec<String>,
    envs: Vec<(String, String)>,
    log: PathBuf,
    child: Option<Child>,
    /// How often it was started.
    pub starts: u32,
}

impl Process {
    /// A process not started yet; its log is gathered in `dir`.
    pub fn new(
        name: &str,
        program: &Path,
        args: Vec<String>,
        envs: Vec<(String, String)>,
        dir: &Path,
    ) -> Self {
        Self {
            name: name.into(),
            program: program.into(),
            args,
            envs,
            log: dir.join(format!("{name}.log")),
            child: None,
            starts: 0,
        }
    }

    /// Starts it, or starts it again.
    pub fn start(&mut self) -> io::Result<()> {
        self.kill();
        let log = File::options().create(true).append(true).open(&self.log)?;
        self.starts += 1;
        if self.starts > 1 {
            // Only its first start is new.
            self.args.retain(|a| a != "--found");
        }
        let mut command = Command::new(&self.program);
        command.args(&self.args).envs(self.envs.iter().map(|(k, v)| (k, v)));
        let child = spawn(command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log));
        self.child = Some(child.map_err(|e| {
            io::Error::new(
                e.kind(),
                format!("{}: {e}; build it with `cargo build --release`", self.program.display()),
            )
        })?);
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Its process id, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// It stands still from now on.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// It goes on.
    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    /// It dies at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Tells it to end in good order, with what it has taken done.
    pub fn end(&self) {
        self.signal(Signal::TERM);
    }

    /// Tells it to read its files again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether it has ended by itself, which none should.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// All that it logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
