//! `filbertctl key`: makes keys.

use crate::error::CommandError;
use fl_protocol::ids::sha256_hex;
use gumdrop::Options;
use std::io::BufRead as _;

const KEY_BYTES: usize = 32;

/// Which key to make.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "make a fleet key, for [fleet] key_hex of every node")]
    fleet: bool,
    #[options(help = "make a workspace key and its hash")]
    workspace: bool,
    #[options(no_short, help = "read a workspace key from standard input and print its hash")]
    hash: bool,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl key --fleet
  filbertctl key --workspace
  filbertctl key --hash < workspace.key
";

/// Prints the keys that were asked for, as lines of the file they belong in.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if !arguments.fleet && !arguments.workspace && !arguments.hash {
        let message = "key needs --fleet, --workspace or --hash";
        return Err(CommandError::Usage(message.to_string()));
    }
    if arguments.fleet {
        println!("key_hex = {}", new_key());
    }
    if arguments.workspace {
        let key = new_key();
        println!("; give this key to the callers, it is kept nowhere: {key}");
        println!("key_sha256_hex = {}", sha256_hex(key.as_bytes()));
    }
    if arguments.hash {
        println!("key_sha256_hex = {}", sha256_hex(read_key()?.as_bytes()));
    }
    Ok(())
}

fn new_key() -> String {
    hex::encode(rand::random::<[u8; KEY_BYTES]>())
}

/// Keys are read from standard input, since the system shows arguments to all its users.
fn read_key() -> Result<String, CommandError> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(|error| CommandError::Io {
        path: "standard input".to_string(),
        message: error.to_string(),
    })?;
    let key = line.trim();
    if key.is_empty() {
        let message = "standard input holds no key; write the key as its first line";
        return Err(CommandError::Failed(message.to_string()));
    }
    Ok(key.to_string())
}
