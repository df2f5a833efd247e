//! An INI file as sections and lines, read key by key, so that every fault is found in one pass.

use crate::error::{ConfigError, ConfigErrors};
use crate::value::ValueKind;
use ini::{Ini, ParseOption, Properties};

/// A key that a reader asked for; together they make the reference of a format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentedKey {
    /// The section's name.
    pub section: String,
    /// The key.
    pub key: String,
    /// What is allowed.
    pub allowed: String,
    /// What counts without the line; `None` when the line is required.
    pub default: Option<String>,
}

#[derive(Debug)]
struct Section {
    name: String,
    lines: Vec<Line>,
}

#[derive(Debug)]
struct Line {
    key: String,
    value: String,
}

/// A file that is being read, and the faults found so far.
#[derive(Debug, Default)]
pub struct Document {
    sections: Vec<Section>,
    errors: Vec<ConfigError>,
    documented_keys: Vec<DocumentedKey>,
}

impl Document {
    /// Parses a text; sections and keys that stand twice are faults already here.
    pub fn parse(text: &str) -> Result<Self, ConfigErrors> {
        let options =
            ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| ConfigError::Syntax {
            line: error.line,
            message: error.msg.into_owned(),
        })?;
        let mut document = Document::default();
        for (name, properties) in &ini {
            document.add_section(name.unwrap_or_default(), properties);
        }
        Ok(document)
    }

    /// The names of the sections, in the file's order.
    pub fn section_names(&self) -> Vec<String> {
        self.sections.iter().map(|section| section.name.clone()).collect()
    }

    /// Reads one section; without it every required key is missing.
    pub fn section(&mut self, name: &str) -> SectionReader<'_> {
        let found = self.sections.iter().position(|section| section.name == name);
        let lines = found.map(|index| self.sections.remove(index).lines).unwrap_or_default();
        SectionReader { document: self, name: name.to_string(), lines, keys: Vec::new() }
    }

    /// Adds a fault found by comparing values.
    pub fn add_error(&mut self, error: ConfigError) {
        self.errors.push(error);
    }

    /// The keys asked for so far.
    pub fn into_documented_keys(self) -> Vec<DocumentedKey> {
        self.documented_keys
    }

    /// Ends reading: what was not read is unknown, and a value is given only without faults.
    pub fn finish<T>(mut self, value: Option<T>, known_sections: &str) -> Result<T, ConfigErrors> {
        for section in std::mem::take(&mut self.sections) {
            if !section.name.is_empty() || !section.lines.is_empty() {
                let allowed = known_sections.to_string();
                self.errors.push(ConfigError::UnknownSection { section: section.name, allowed });
            }
        }
        match value {
            Some(value) if self.errors.is_empty() => Ok(value),
            _ => Err(ConfigErrors { errors: self.errors }),
        }
    }

    fn add_section(&mut self, name: &str, properties: &Properties) {
        if self.sections.iter().any(|section| section.name == name) {
            self.count_duplicate_section(name);
            return;
        }
        let lines = properties.iter().map(|(key, value)| self.read_line(name, key, value));
        let lines = lines.collect();
        self.sections.push(Section { name: name.to_string(), lines });
    }

    /// The parser takes lines without a '=' for a part of the next key.
    fn read_line(&mut self, section: &str, key: &str, value: &str) -> Line {
        let (stray, key) = key.rsplit_once('\n').unwrap_or(("", key));
        for text in stray.lines().map(str::trim).filter(|text| !text.is_empty()) {
            let error =
                ConfigError::StrayLine { section: section.to_string(), text: text.to_string() };
            self.errors.push(error);
        }
        Line { key: key.trim().to_string(), value: value.trim().to_string() }
    }

    fn count_duplicate_section(&mut self, name: &str) {
        let counted = self.errors.iter_mut().find_map(|error| match error {
            ConfigError::DuplicateSection { section, count } if section == name => Some(count),
            _ => None,
        });
        match counted {
            Some(count) => *count += 1,
            None => {
                self.errors
                    .push(ConfigError::DuplicateSection { section: name.to_string(), count: 2 });
            }
        }
    }
}

/// Reads the keys of one section.
pub struct SectionReader<'a> {
    document: &'a mut Document,
    name: String,
    lines: Vec<Line>,
    keys: Vec<String>,
}

impl SectionReader<'_> {
    /// Reads a key that must be there.
    pub fn required<T: 'static>(&mut self, key: &str, kind: ValueKind<T>) -> Option<T> {
        self.document_key(key, &kind, None);
        match self.take(key) {
            Some(text) => self.read(key, &text, &kind),
            None => {
                let error = ConfigError::Missing {
                    section: self.name.clone(),
                    key: key.to_string(),
                    allowed: kind.allowed,
                };
                self.document.errors.push(error);
                None
            }
        }
    }

    /// Reads a key that has a default, written as it would stand in the file.
    pub fn optional<T: 'static>(
        &mut self,
        key: &str,
        default: &str,
        kind: ValueKind<T>,
    ) -> Option<T> {
        self.document_key(key, &kind, Some(default));
        let text = self.take(key).unwrap_or_else(|| default.to_string());
        self.read(key, &text, &kind)
    }

    /// Reads a key that takes another key's value when it is absent.
    pub fn optional_or<T: 'static>(
        &mut self,
        key: &str,
        other_key: &str,
        other: Option<T>,
        kind: ValueKind<T>,
    ) -> Option<T> {
        self.document_key(key, &kind, Some(&format!("the value of {other_key}")));
        match self.take(key) {
            Some(text) => self.read(key, &text, &kind),
            None => other,
        }
    }

    /// Ends reading: lines that were not asked for are unknown keys.
    pub fn finish(self) {
        let allowed = self.keys.join(", ");
        for line in self.lines {
            let error = ConfigError::UnknownKey {
                section: self.name.clone(),
                key: line.key,
                allowed: allowed.clone(),
            };
            self.document.errors.push(error);
        }
    }

    fn document_key<T>(&mut self, key: &str, kind: &ValueKind<T>, default: Option<&str>) {
        self.keys.push(key.to_string());
        self.document.documented_keys.push(DocumentedKey {
            section: self.name.clone(),
            key: key.to_string(),
            allowed: kind.allowed.clone(),
            default: default.map(String::from),
        });
    }

    fn take(&mut self, key: &str) -> Option<String> {
        let (mut found, others): (Vec<Line>, Vec<Line>) =
            std::mem::take(&mut self.lines).into_iter().partition(|line| line.key == key);
        self.lines = others;
        if found.len() > 1 {
            let error = ConfigError::DuplicateKey {
                section: self.name.clone(),
                key: key.to_string(),
                count: found.len(),
            };
            self.document.errors.push(error);
        }
        found.pop().map(|line| line.value)
    }

    fn read<T: 'static>(&mut self, key: &str, text: &str, kind: &ValueKind<T>) -> Option<T> {
        let value = kind.read(text);
        if value.is_none() {
            let shown = if kind.secret { "(hidden)" } else { text };
            self.document.errors.push(ConfigError::Value {
                section: self.name.clone(),
                key: key.to_string(),
                value: shown.to_string(),
                allowed: kind.allowed.clone(),
            });
        }
        value
    }
}
