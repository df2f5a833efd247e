//! Kinds of values, each with a description of the allowed values and a parser.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

const NAME_CHARACTERS_MAX: usize = 63;
const KEY_BYTES: usize = 32;

type ParseFn<T> = Box<dyn Fn(&str) -> Option<T>>;

/// Kind of value that a key has.
pub struct ValueKind<T> {
    /// Description of the allowed values, for error messages and the documentation.
    pub allowed: String,
    /// Whether the value must not appear in error messages.
    pub secret: bool,
    read: ParseFn<T>,
}

impl<T: 'static> ValueKind<T> {
    /// Creates a kind from the description of its allowed values and its parser.
    pub fn new(allowed: &str, read: impl Fn(&str) -> Option<T> + 'static) -> Self {
        ValueKind { allowed: allowed.to_string(), secret: false, read: Box::new(read) }
    }

    /// Parses a value; returns `None` if it is not allowed.
    pub fn read(&self, text: &str) -> Option<T> {
        (self.read)(text)
    }

    /// Hides the value in error messages.
    pub fn secret(mut self) -> Self {
        self.secret = true;
        self
    }
}

/// Returns the kind for names of VMs, data centres, workspaces, models, adapters, services, classes
/// and pools.
pub fn name() -> ValueKind<String> {
    ValueKind::new("a name of 1 to 63 letters, digits, '-', '_' or '.'", |text| {
        is_name(text).then(|| text.to_string())
    })
}

/// Returns whether a text is a valid name.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=NAME_CHARACTERS_MAX).contains(&text.len()) && text.chars().all(allowed)
}

/// Returns the kind for any text on one line.
pub fn text() -> ValueKind<String> {
    ValueKind::new("text", |text| Some(text.to_string()))
}

/// Returns the kind for one of several words.
pub fn one_of(words: &'static [&'static str]) -> ValueKind<String> {
    let allowed = format!("one of {}", words.join(", "));
    ValueKind::new(&allowed, |text| words.contains(&text).then(|| text.to_string()))
}

/// Returns the kind for booleans, written as yes or no or as true or false.
pub fn yes_or_no() -> ValueKind<bool> {
    ValueKind::new("yes or no (true or false)", |text| match text {
        "yes" | "true" => Some(true),
        "no" | "false" => Some(false),
        _ => None,
    })
}

/// Returns the kind for whole numbers within inclusive bounds.
pub fn number(bounds: RangeInclusive<u64>) -> ValueKind<u64> {
    let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// Returns the kind for whole numbers of at most 32 bits within inclusive bounds.
pub fn small_number(bounds: RangeInclusive<u32>) -> ValueKind<u32> {
    let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// Returns the kind for sizes in bytes within inclusive bounds.
pub fn size_bytes(bounds: RangeInclusive<usize>) -> ValueKind<usize> {
    let allowed = format!("a number of bytes from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// Returns the kind for durations in milliseconds within inclusive bounds.
pub fn milliseconds(bounds: RangeInclusive<u64>) -> ValueKind<Duration> {
    let allowed = format!("milliseconds from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| {
        let value_ms = text.parse().ok().filter(|value| bounds.contains(value))?;
        Some(Duration::from_millis(value_ms))
    })
}

/// Returns the kind for addresses with a port above 0.
pub fn address() -> ValueKind<SocketAddr> {
    ValueKind::new("an address ip:port with a port above 0", parse_address)
}

/// Returns the kind for addresses that other processes can connect to, so not `0.0.0.0`.
pub fn reachable_address() -> ValueKind<SocketAddr> {
    let allowed = "an address ip:port that others can reach (no 0.0.0.0), with a port above 0";
    ValueKind::new(allowed, |text| parse_address(text).filter(|found| !found.ip().is_unspecified()))
}

/// Returns the kind for comma-separated addresses; the parser sorts them and removes duplicates.
pub fn addresses() -> ValueKind<Vec<SocketAddr>> {
    ValueKind::new("addresses ip:port parted by commas", |text| {
        let parts = split_list(text).into_iter();
        let mut found: Vec<SocketAddr> = parts.map(parse_address).collect::<Option<_>>()?;
        found.sort_unstable();
        found.dedup();
        Some(found)
    })
}

/// Returns the kind for comma-separated names without duplicates; the parser sorts them.
pub fn names() -> ValueKind<Vec<String>> {
    sorted_list("names parted by commas, none of them twice", is_name)
}

/// Returns the kind for comma-separated models without duplicates; the parser sorts them.
pub fn model_names() -> ValueKind<Vec<String>> {
    let allowed = "models parted by commas, each as model or model:adapter, none of them twice";
    sorted_list(allowed, |part| match part.split_once(':') {
        Some((model, adapter)) => is_name(model) && is_name(adapter),
        None => is_name(part),
    })
}

/// Returns the kind for a secret key of 32 bytes in hexadecimal.
pub fn secret_key() -> ValueKind<[u8; KEY_BYTES]> {
    let kind = ValueKind::new("64 hexadecimal digits (32 bytes)", |text| {
        hex::decode(text).ok()?.try_into().ok()
    });
    kind.secret()
}

/// Returns the kind for the SHA-256 of a workspace key in hexadecimal.
pub fn key_hash() -> ValueKind<String> {
    ValueKind::new("the SHA-256 of the key as 64 hexadecimal digits", |text| {
        let bytes = hex::decode(text).ok()?;
        (bytes.len() == KEY_BYTES).then(|| hex::encode(bytes))
    })
}

fn sorted_list(allowed: &str, is_valid: fn(&str) -> bool) -> ValueKind<Vec<String>> {
    ValueKind::new(allowed, move |text| {
        let mut parts: Vec<String> = split_list(text).into_iter().map(String::from).collect();
        let count = parts.len();
        parts.sort_unstable();
        parts.dedup();
        (parts.len() == count && parts.iter().all(|part| is_valid(part))).then_some(parts)
    })
}

fn split_list(text: &str) -> Vec<&str> {
    if text.is_empty() {
        return Vec::new();
    }
    text.split(',').map(str::trim).collect()
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|found: &SocketAddr| found.port() != 0)
}
