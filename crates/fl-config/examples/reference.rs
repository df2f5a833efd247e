//! Prints the reference of settings and configuration as Markdown rows.

use fl_config::{DocumentedKey, Settings, configuration_reference};

fn main() {
    print(&Settings::reference());
    println!();
    print(&configuration_reference());
}

fn print(keys: &[DocumentedKey]) {
    for key in keys {
        let default = match key.default.as_deref() {
            None => "required",
            Some("") => "empty",
            Some(text) => text,
        };
        println!("| `[{}] {}` | {} | {default} | |", key.section, key.key, key.allowed);
    }
}
