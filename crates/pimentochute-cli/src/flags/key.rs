//! The grammar of `key`.

// The macro generates the parser, which does not follow these lints.
#![allow(clippy::all, clippy::pedantic)]

use std::path::PathBuf;

use pimentochute_base::{KeyId, TeamName};

xflags::xflags! {
    /// Keys of teams.
    cmd key {
        /// The address of an entry host, HOST:PORT.
        optional --server addr: String
        /// The file that holds the key; else PIMENTOCHUTE_KEY is read.
        optional --key-file file: PathBuf
        /// Prints data as JSON.
        optional --json
        /// Who makes the change; else USER is read.
        optional --author name: String
        /// Makes a random secret, prints it once and sends its digest.
        cmd grant {
            /// The identifier of the key; it is never used again.
            required key: KeyId
            /// The team.
            required --team name: TeamName
        }
        /// Removes a key; it stops working within seconds.
        cmd withdraw {
            /// The identifier of the key.
            required key: KeyId
        }
    }
}
