//! INI file as sections and lines that are read key by key, so that one pass finds every error.

use crate::error::{ConfigError, ConfigErrors};
use crate::value::ValueKind;
use ini::{Ini, ParseOption, Properties};

/// Key that a reader requests; all such keys together are the reference of a format.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentedKey {
    /// Name of the section.
    pub section: String,
    /// Name of the key.
    pub key: String,
    /// Description of the allowed values.
    pub allowed: String,
    /// Default value as text; `None` if the key is required.
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

/// File that is being read, with the errors found so far.
#[derive(Debug, Default)]
pub struct Document {
    sections: Vec<Section>,
    errors: Vec<ConfigError>,
    documented_keys: Vec<DocumentedKey>,
}

impl Document {
    /// Parses a text; duplicate sections and stray lines are recorded as errors of the document.
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

    /// Returns the names of the unread sections, in the file's order.
    pub fn section_names(&self) -> Vec<String> {
        self.sections.iter().map(|section| section.name.clone()).collect()
    }

    /// Starts reading a section; if the file lacks it, every required key is reported as missing.
    pub fn section(&mut self, name: &str) -> SectionReader<'_> {
        let index = self.sections.iter().position(|section| section.name == name);
        let lines = index.map(|index| self.sections.remove(index).lines).unwrap_or_default();
        SectionReader { document: self, name: name.to_string(), lines, keys: Vec::new() }
    }

    /// Adds an error that was found by comparing values.
    pub fn add_error(&mut self, error: ConfigError) {
        self.errors.push(error);
    }

    /// Returns the keys that were requested so far.
    pub fn into_documented_keys(self) -> Vec<DocumentedKey> {
        self.documented_keys
    }

    /// Finishes reading: reports unread sections as unknown and returns the value if there are no
    /// errors.
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
            self.record_duplicate_section(name);
            return;
        }
        let lines = properties.iter().map(|(key, value)| self.read_line(name, key, value));
        let lines = lines.collect();
        self.sections.push(Section { name: name.to_string(), lines });
    }

    /// Reports lines without a '=', which the parser takes for a part of the next key.
    fn read_line(&mut self, section: &str, key: &str, value: &str) -> Line {
        let (stray_lines, key) = key.rsplit_once('\n').unwrap_or(("", key));
        for text in stray_lines.lines().map(str::trim).filter(|text| !text.is_empty()) {
            let error =
                ConfigError::StrayLine { section: section.to_string(), text: text.to_string() };
            self.errors.push(error);
        }
        Line { key: key.trim().to_string(), value: value.trim().to_string() }
    }

    fn record_duplicate_section(&mut self, name: &str) {
        let count = self.errors.iter_mut().find_map(|error| match error {
            ConfigError::DuplicateSection { section, count } if section == name => Some(count),
            _ => None,
        });
        match count {
            Some(count) => *count += 1,
            None => {
                self.errors
                    .push(ConfigError::DuplicateSection { section: name.to_string(), count: 2 });
            }
        }
    }
}

/// Reader for the keys of one section.
pub struct SectionReader<'a> {
    document: &'a mut Document,
    name: String,
    lines: Vec<Line>,
    keys: Vec<String>,
}

impl SectionReader<'_> {
    /// Reads a required key.
    pub fn required<T: 'static>(&mut self, key: &str, kind: ValueKind<T>) -> Option<T> {
        self.record_key(key, &kind, None);
        match self.take_value(key) {
            Some(text) => self.read_value(key, &text, &kind),
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

    /// Reads an optional key; its default is given as text in the format of the file.
    pub fn optional<T: 'static>(
        &mut self,
        key: &str,
        default: &str,
        kind: ValueKind<T>,
    ) -> Option<T> {
        self.record_key(key, &kind, Some(default));
        let text = self.take_value(key).unwrap_or_else(|| default.to_string());
        self.read_value(key, &text, &kind)
    }

    /// Reads an optional key whose default is the value of another key.
    pub fn optional_or<T: 'static>(
        &mut self,
        key: &str,
        other_key: &str,
        other: Option<T>,
        kind: ValueKind<T>,
    ) -> Option<T> {
        self.record_key(key, &kind, Some(&format!("the value of {other_key}")));
        match self.take_value(key) {
            Some(text) => self.read_value(key, &text, &kind),
            None => other,
        }
    }

    /// Finishes reading the section: reports keys that were not requested as unknown.
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

    fn record_key<T>(&mut self, key: &str, kind: &ValueKind<T>, default: Option<&str>) {
        self.keys.push(key.to_string());
        self.document.documented_keys.push(DocumentedKey {
            section: self.name.clone(),
            key: key.to_string(),
            allowed: kind.allowed.clone(),
            default: default.map(String::from),
        });
    }

    fn take_value(&mut self, key: &str) -> Option<String> {
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

    fn read_value<T: 'static>(&mut self, key: &str, text: &str, kind: &ValueKind<T>) -> Option<T> {
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
