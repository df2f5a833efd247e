//! Parses the command line, runs the command and maps its result to an exit code.

use crate::commands::Command;
use crate::error::CommandError;
use gumdrop::{Options, ParsingStyle};
use std::process::ExitCode;

const PROGRAM: &str = "filbertctl";
const EXIT_CODES: &str = "Exit codes: 0 success; 1 an invalid file or a failed command; \
                          2 a wrong command line;\n3 a node or the platform cannot be \
                          reached; 4 a conflict with another operator's configuration.";

#[derive(Debug, Options)]
struct CommandLine {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Runs the command given by the arguments of the process, and prints its error to standard error.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run() -> Result<(), CommandError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let line = CommandLine::parse_args(&arguments, ParsingStyle::AllOptions)
        .map_err(|error| CommandError::Usage(error.to_string()))?;
    match line.command {
        Some(command) if line.help || command.help_requested() => {
            println!("{}", command_help(&command));
            Ok(())
        }
        Some(command) => run_command(command),
        None if line.help => {
            println!("{}", program_help());
            Ok(())
        }
        None => Err(CommandError::Usage("no command was given".to_string())),
    }
}

fn run_command(command: Command) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| {
        CommandError::Failed(format!("cannot start the async runtime: {error}"))
    })?;
    runtime.block_on(command.run())
}

fn program_help() -> String {
    let commands = Command::usage();
    format!(
        "{PROGRAM}, the operators' command line of filbertlead\n\n\
         Usage: {PROGRAM} COMMAND [OPTIONS]\n\n{commands}\n\n{EXIT_CODES}\n\
         `{PROGRAM} COMMAND --help` shows the options and examples of a command."
    )
}

fn command_help(command: &Command) -> String {
    let name = command.command_name().unwrap_or_default();
    let usage = command.self_usage();
    let examples = command.examples();
    format!("Usage: {PROGRAM} {name} [OPTIONS]\n\n{usage}\n\nExamples:\n{examples}\n{EXIT_CODES}")
}
