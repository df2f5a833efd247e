//! Prints every key of the settings and the configuration as rows of a Markdown table.

use fl_config::{DocumentedKey, Settings, configuration_reference};

fn main() {
    print_rows(&Settings::reference());
    println!();
    print_rows(&configuration_reference());
}

fn print_rows(keys: &[DocumentedKey]) {
    for key in keys {
        let default = match key.default.as_deref() {
            None => "required",
            Some("") => "empty",
            Some(text) => text,
        };
        println!("| `[{}] {}` | {} | {default} | |", key.section, key.key, key.allowed);
    }
}
