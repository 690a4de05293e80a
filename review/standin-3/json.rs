//! A small JSON reader, enough for the messages of the hosts. Messages that the stand-ins send
//! are written as text.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut parser = Parser {
            chars: text.chars().collect(),
            at: 0,
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Map(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek()? != '}' {
                    let Json::Text(name) = self.value()? else {
                        return None;
                    };
                    if self.peek()? != ':' {
                        return None;
                    }
                    self.at += 1;
                    fields.insert(name, self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::Map(fields))
            }
            '[' => {
                self.at += 1;
                let mut items = Vec::new();
                while self.peek()? != ']' {
                    items.push(self.value()?);
                    if self.peek()? == ',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Json::List(items))
            }
            '"' => self.string().map(Json::Text),
            _ => {
                let from = self.at;
                while self
                    .chars
                    .get(self.at)
                    .is_some_and(|c| !",]}".contains(*c) && !c.is_whitespace())
                {
                    self.at += 1;
                }
                let word: String = self.chars[from..self.at].iter().collect();
                match word.as_str() {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    _ => word.parse().ok().map(Json::Number),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        let mut text = String::new();
        self.at += 1;
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let hex: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Writes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            c if (c as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

/// Encodes bytes in base64, as the store does in its lists of the newest records.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0u8; 3];
        word[..part.len()].copy_from_slice(part);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for digit in 0..4 {
            if digit <= part.len() {
                text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
