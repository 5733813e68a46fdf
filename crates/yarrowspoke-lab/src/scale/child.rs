//! What the rig starts processes by, so that none outlives the one that started it, whatever ended that.

use rustix::process::{getppid, set_parent_process_death_signal, Signal};
use std::io;
use std::os::unix::process::CommandExt;
use std::process::Command;

/// Becomes `program`, which is killed as soon as the thread that started this process ends; comes back only if it can't.
pub fn become_program(program: &std::path::Path, args: &[String]) -> io::Error {
    if let Err(e) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // Danger: the parent may have ended before this was asked for, and would then never be noticed.
    if getppid().is_none_or(|p| p.is_init()) {
        return io::Error::other("whoever started this has ended");
    }
    Command::new(program).args(args).exec()
}
