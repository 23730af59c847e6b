//! The resource API as the command line uses it.

/// A connection to one daemon's operators' address.
#[derive(Debug, Clone)]
pub struct Client {
    server: String,
    key: String,
}

impl Client {
    /// A client of the daemon at a base URL, without a key.
    ///
    /// ```
    /// let client = hornbeamloom_ctl::client::Client::new("http://127.0.0.1:8200");
    /// assert_eq!(client.server(), "http://127.0.0.1:8200");
    /// ```
    pub fn new(server: &str) -> Client {
        Client {
            server: server.trim_end_matches('/').to_owned(),
            key: String::new(),
        }
    }

    /// The same client with an operator key.
    pub fn with_key(self, key: &str) -> Client {
        Client {
            key: key.to_owned(),
            ..self
        }
    }

    /// The base URL.
    pub fn server(&self) -> &str {
        &self.server
    }

    /// The operator key.
    pub fn key(&self) -> &str {
        &self.key
    }
}

/// Why a subcommand failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
    /// The daemon could not be reached.
    #[error("cannot reach the daemon: {0}")]
    Connect(#[from] reqwest::Error),
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The daemon refused.
    #[error("{status} {reason}: {detail}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Typed reason.
        reason: String,
        /// What the daemon says.
        detail: String,
    },
}

impl Error {
    /// The process exit status: 2 usage, 3 unreachable, 4 refused, 5 conflict, 6 unknown outcome.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::Usage(_) | Error::File { .. } => 2,
            Error::Connect(_) => 3,
            Error::Refused { status: 409, .. } => 5,
            Error::Refused { status: 504, .. } => 6,
            Error::Refused { .. } => 4,
        }
    }
}
