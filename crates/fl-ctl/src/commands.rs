//! The commands, one module each.
//!
//! Each module defines `Arguments` (the options of the command), `EXAMPLES` (printed in its help)
//! and `run`.

pub mod check;
pub mod experiment;
pub mod explain;
pub mod key;
pub mod load;
pub mod push;
pub mod status;
pub mod timeline;

use crate::error::CommandError;
use gumdrop::Options;

/// A command with its parsed arguments.
#[derive(Debug, Options)]
pub enum Command {
    /// See [`check`].
    #[options(help = "check settings and configuration files without starting a node")]
    Check(check::Arguments),
    /// See [`experiment`].
    #[options(help = "compare the results of load runs")]
    Experiment(experiment::Arguments),
    /// See [`explain`].
    #[options(help = "show what happened to one request, from the logs of all nodes")]
    Explain(explain::Arguments),
    /// See [`key`].
    #[options(help = "generate a fleet key, or a workspace key and its hash")]
    Key(key::Arguments),
    /// See [`load`].
    #[options(help = "send a mix of calls and report how they were served")]
    Load(load::Arguments),
    /// See [`push`].
    #[options(help = "submit a configuration, and wait until it is in force with --wait")]
    Push(push::Arguments),
    /// See [`status`].
    #[options(help = "print the version in force and the nodes of each data centre")]
    Status(status::Arguments),
    /// See [`timeline`].
    #[options(help = "merge the events of all nodes into one time line")]
    Timeline(timeline::Arguments),
}

impl Command {
    /// Runs the command to its end; the error decides the exit code.
    pub async fn run(self) -> Result<(), CommandError> {
        match self {
            Command::Check(arguments) => check::run(&arguments),
            Command::Experiment(arguments) => experiment::run(&arguments).await,
            Command::Explain(arguments) => explain::run(&arguments),
            Command::Key(arguments) => key::run(&arguments),
            Command::Load(arguments) => load::run(&arguments).await,
            Command::Push(arguments) => push::run(&arguments).await,
            Command::Status(arguments) => status::run(&arguments).await,
            Command::Timeline(arguments) => timeline::run(&arguments).await,
        }
    }

    /// Returns the examples that the help of the command prints.
    pub fn examples(&self) -> &'static str {
        match self {
            Command::Check(_) => check::EXAMPLES,
            Command::Experiment(_) => experiment::EXAMPLES,
            Command::Explain(_) => explain::EXAMPLES,
            Command::Key(_) => key::EXAMPLES,
            Command::Load(_) => load::EXAMPLES,
            Command::Push(_) => push::EXAMPLES,
            Command::Status(_) => status::EXAMPLES,
            Command::Timeline(_) => timeline::EXAMPLES,
        }
    }
}
