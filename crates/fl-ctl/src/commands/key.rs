//! `filbertctl key`: generates keys and hashes them.

use crate::error::CommandError;
use fl_protocol::ids::sha256_hex;
use gumdrop::Options;
use std::io::BufRead as _;

const KEY_BYTES: usize = 32;

/// Generates fleet keys and workspace keys.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "generate a fleet key, for [fleet] key_hex of every node")]
    fleet: bool,
    #[options(help = "generate a workspace key and its hash")]
    workspace: bool,
    #[options(no_short, help = "read a workspace key from standard input and print its hash")]
    hash: bool,
}

/// Example invocations, printed by `--help`.
pub const EXAMPLES: &str = "  filbertctl key --fleet
  filbertctl key --workspace
  filbertctl key --hash < workspace.key
";

/// Prints the requested keys as lines to paste into the settings or configuration file.
pub fn run(arguments: &Arguments) -> Result<(), CommandError> {
    if !arguments.fleet && !arguments.workspace && !arguments.hash {
        let message = "key needs --fleet, --workspace or --hash";
        return Err(CommandError::Usage(message.to_string()));
    }
    if arguments.fleet {
        println!("key_hex = {}", generate_key());
    }
    if arguments.workspace {
        let key = generate_key();
        println!("; give this key to the callers, it is not stored anywhere: {key}");
        println!("key_sha256_hex = {}", sha256_hex(key.as_bytes()));
    }
    if arguments.hash {
        println!("key_sha256_hex = {}", sha256_hex(read_key()?.as_bytes()));
    }
    Ok(())
}

fn generate_key() -> String {
    hex::encode(rand::random::<[u8; KEY_BYTES]>())
}

/// Reads a key from standard input, since all users of a machine can see command line arguments.
fn read_key() -> Result<String, CommandError> {
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line).map_err(|error| CommandError::Io {
        path: "standard input".to_string(),
        message: error.to_string(),
    })?;
    let key = line.trim();
    if key.is_empty() {
        let message = "standard input has no key; write the key as its first line";
        return Err(CommandError::Failed(message.to_string()));
    }
    Ok(key.to_string())
}
