//! JSON, as far as the calls of the store need it.

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

/// Returns a string in quotes. Only the escapes that the stand-ins need are written.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    parser.value()
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn eat(&mut self, byte: u8) -> bool {
        let found = self.peek() == Some(byte);
        self.at += usize::from(found);
        found
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'"' => self.string().map(Json::Text),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !self.eat(b']') {
                    items.push(self.value()?);
                    self.eat(b',');
                }
                Some(Json::List(items))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while !self.eat(b'}') {
                    self.peek()?;
                    let key = self.string()?;
                    self.eat(b':');
                    fields.push((key, self.value()?));
                    self.eat(b',');
                }
                Some(Json::Object(fields))
            }
            _ => {
                let start = self.at;
                while self.text.get(self.at).is_some_and(|byte| !b",]} \r\n".contains(byte)) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                Some(word.parse().map_or(Json::Null, Json::Number))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        self.at += 1;
        loop {
            match *self.text.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    bytes.push(*self.text.get(self.at)?);
                }
                byte => bytes.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(bytes).ok()
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = ALPHABET.iter().position(|other| *other == byte) else { break };
        (bits, count) = (bits << 6 | digit as u32, count + 6);
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
        }
    }
    bytes
}
