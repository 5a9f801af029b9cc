//! Header fields, and heads of requests and responses.

/// One header field, as it was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderField {
    /// Name in the sender's case.
    pub name: String,
    /// Value without surrounding white space.
    pub value: Vec<u8>,
}

/// Header fields in the order received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HeaderList {
    fields: Vec<HeaderField>,
}

impl HeaderList {
    /// Creates an empty list with room for a number of fields.
    pub fn with_capacity(fields: usize) -> Self {
        Self { fields: Vec::with_capacity(fields) }
    }

    /// Appends a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.fields.push(HeaderField { name: name.into(), value: value.into() });
    }

    /// Returns the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &HeaderField> {
        self.fields.iter()
    }

    /// Returns the values of all fields of a name, in order. Names are case-insensitive.
    pub fn values<'a>(&'a self, name: &str) -> impl Iterator<Item = &'a [u8]> + use<'a> {
        let name = name.to_ascii_lowercase();
        let fields = self.fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(&name));
        fields.map(|field| field.value.as_slice())
    }

    /// Returns the first value of a field if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.values(name).next().and_then(|value| str::from_utf8(value).ok())
    }

    /// Returns the first value of a field if it is a decimal number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name).and_then(|text| text.trim().parse().ok())
    }

    /// Returns whether a field is present.
    pub fn contains(&self, name: &str) -> bool {
        self.values(name).next().is_some()
    }

    /// Returns whether a comma-separated field contains a token, in any case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .filter_map(|value| str::from_utf8(value).ok())
            .flat_map(|value| value.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }
}

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// Method, in the sender's case.
    pub method: String,
    /// Request target as sent, with its query.
    pub target: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: HeaderList,
}

impl RequestHead {
    /// Creates an HTTP/1.1 head without fields.
    pub fn new(method: impl Into<String>, target: impl Into<String>) -> Self {
        let (method, target) = (method.into(), target.into());
        Self { method, target, minor_version: 1, headers: HeaderList::default() }
    }

    /// Returns the request target without its query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Returns whether the sender asks to close the connection after the exchange.
    pub fn wants_close(&self) -> bool {
        self.headers.contains_token("connection", "close")
    }

    /// Returns the length of the encoded head, in bytes.
    pub fn encoded_length(&self) -> usize {
        const FRAME: usize = "  HTTP/1.1\r\n\r\n".len();
        let fields = self.headers.iter();
        let fields: usize = fields.map(|field| field.name.len() + field.value.len() + 4).sum();
        self.method.len() + self.target.len() + FRAME + fields
    }

    /// Encodes the head as HTTP/1.1, with the empty line at its end.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.encoded_length());
        for part in [self.method.as_str(), " ", self.target.as_str(), " HTTP/1.1\r\n"] {
            bytes.extend_from_slice(part.as_bytes());
        }
        encode_fields(&self.headers, &mut bytes);
        bytes
    }
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// Header fields in the order received.
    pub headers: HeaderList,
}

impl ResponseHead {
    /// Creates an HTTP/1.1 head without fields.
    pub fn new(status: u16) -> Self {
        let reason = reason_phrase(status).to_owned();
        Self { status, reason, minor_version: 1, headers: HeaderList::default() }
    }

    /// Returns whether the sender keeps the connection open after this response.
    pub fn keeps_connection(&self) -> bool {
        self.minor_version == 1 && !self.headers.contains_token("connection", "close")
    }

    /// Encodes the head as HTTP/1.1, with the empty line at its end.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(256);
        let line = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason);
        bytes.extend_from_slice(line.as_bytes());
        encode_fields(&self.headers, &mut bytes);
        bytes
    }
}

fn encode_fields(headers: &HeaderList, bytes: &mut Vec<u8>) {
    for field in headers.iter() {
        bytes.extend_from_slice(field.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&field.value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}
