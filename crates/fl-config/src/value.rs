//! The kinds of values: what is allowed, in words, and how it is read.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

const NAME_CHARACTERS_MAX: usize = 63;
const KEY_BYTES: usize = 32;

type ReadFn<T> = Box<dyn Fn(&str) -> Option<T>>;

/// One kind of value.
pub struct ValueKind<T> {
    /// What is allowed, for messages and pages.
    pub allowed: String,
    /// Whether the value must not be printed.
    pub secret: bool,
    read: ReadFn<T>,
}

impl<T: 'static> ValueKind<T> {
    /// Describes a kind by its words and its reader.
    pub fn new(allowed: &str, read: impl Fn(&str) -> Option<T> + 'static) -> Self {
        ValueKind { allowed: allowed.to_string(), secret: false, read: Box::new(read) }
    }

    /// Reads a value; `None` when it is not allowed.
    pub fn read(&self, text: &str) -> Option<T> {
        (self.read)(text)
    }

    /// Keeps the value out of fault reports.
    pub fn secret(mut self) -> Self {
        self.secret = true;
        self
    }
}

/// A name of a VM, data centre, workspace, model, adapter, service, class or pool.
pub fn name() -> ValueKind<String> {
    ValueKind::new("a name of 1 to 63 letters, digits, '-', '_' or '.'", |text| {
        is_name(text).then(|| text.to_string())
    })
}

/// Says whether a text is a name.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=NAME_CHARACTERS_MAX).contains(&text.len()) && text.chars().all(allowed)
}

/// A line of text.
pub fn text() -> ValueKind<String> {
    ValueKind::new("text", |text| Some(text.to_string()))
}

/// One of several words.
pub fn one_of(words: &'static [&'static str]) -> ValueKind<String> {
    let allowed = format!("one of {}", words.join(", "));
    ValueKind::new(&allowed, |text| words.contains(&text).then(|| text.to_string()))
}

/// A yes or no.
pub fn yes_or_no() -> ValueKind<bool> {
    ValueKind::new("yes or no (true or false)", |text| match text {
        "yes" | "true" => Some(true),
        "no" | "false" => Some(false),
        _ => None,
    })
}

/// A whole number within bounds.
pub fn number(bounds: RangeInclusive<u64>) -> ValueKind<u64> {
    let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// A whole number of at most 32 bits within bounds.
pub fn small_number(bounds: RangeInclusive<u32>) -> ValueKind<u32> {
    let allowed = format!("a whole number from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// A size in bytes within bounds.
pub fn size_bytes(bounds: RangeInclusive<usize>) -> ValueKind<usize> {
    let allowed = format!("a number of bytes from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| text.parse().ok().filter(|value| bounds.contains(value)))
}

/// A time in milliseconds within bounds.
pub fn milliseconds(bounds: RangeInclusive<u64>) -> ValueKind<Duration> {
    let allowed = format!("milliseconds from {} to {}", bounds.start(), bounds.end());
    ValueKind::new(&allowed, move |text| {
        let value_ms = text.parse().ok().filter(|value| bounds.contains(value))?;
        Some(Duration::from_millis(value_ms))
    })
}

/// An address with a port.
pub fn address() -> ValueKind<SocketAddr> {
    ValueKind::new("an address ip:port with a port above 0", read_address)
}

/// An address with a port that other processes can connect to.
pub fn reachable_address() -> ValueKind<SocketAddr> {
    let allowed = "an address ip:port that others can reach (no 0.0.0.0), with a port above 0";
    ValueKind::new(allowed, |text| read_address(text).filter(|found| !found.ip().is_unspecified()))
}

/// A list of addresses parted by commas, sorted on reading.
pub fn addresses() -> ValueKind<Vec<SocketAddr>> {
    ValueKind::new("addresses ip:port parted by commas", |text| {
        let parts = list_parts(text).into_iter();
        let mut found: Vec<SocketAddr> = parts.map(read_address).collect::<Option<_>>()?;
        found.sort_unstable();
        found.dedup();
        Some(found)
    })
}

/// A list of names parted by commas, sorted on reading.
pub fn names() -> ValueKind<Vec<String>> {
    list("names parted by commas, none of them twice", is_name)
}

/// A list of models parted by commas, sorted on reading.
pub fn model_names() -> ValueKind<Vec<String>> {
    let allowed = "models parted by commas, each as model or model:adapter, none of them twice";
    list(allowed, |part| match part.split_once(':') {
        Some((model, adapter)) => is_name(model) && is_name(adapter),
        None => is_name(part),
    })
}

/// A secret key of 32 bytes in hexadecimal.
pub fn secret_key() -> ValueKind<[u8; KEY_BYTES]> {
    let kind = ValueKind::new("64 hexadecimal digits (32 bytes)", |text| {
        hex::decode(text).ok()?.try_into().ok()
    });
    kind.secret()
}

/// The SHA-256 of a workspace key in hexadecimal.
pub fn key_hash() -> ValueKind<String> {
    ValueKind::new("the SHA-256 of the key as 64 hexadecimal digits", |text| {
        let bytes = hex::decode(text).ok()?;
        (bytes.len() == KEY_BYTES).then(|| hex::encode(bytes))
    })
}

fn list(allowed: &str, is_part: fn(&str) -> bool) -> ValueKind<Vec<String>> {
    ValueKind::new(allowed, move |text| {
        let mut parts: Vec<String> = list_parts(text).into_iter().map(String::from).collect();
        let count = parts.len();
        parts.sort_unstable();
        parts.dedup();
        (parts.len() == count && parts.iter().all(|part| is_part(part))).then_some(parts)
    })
}

fn list_parts(text: &str) -> Vec<&str> {
    if text.is_empty() {
        return Vec::new();
    }
    text.split(',').map(str::trim).collect()
}

fn read_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(|found: &SocketAddr| found.port() != 0)
}
