//! Authenticates callers and decides which work they may submit.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use pimentochute_base::{KeyDigest, KeyId, MilliSpan, QueueName, TeamName};
use pimentochute_state::{FleetConfig, QueueConfig};

use crate::refusal::{Refusal, RefusalCode};
use crate::settings::OperatorKey;

/// The caller of an HTTP request, as established by its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The request carries no key.
    Anonymous,
    /// The request carries a key of a team.
    Team {
        /// The identifier of the key in the configuration.
        key: KeyId,
        /// The team of the key.
        team: TeamName,
    },
    /// The request carries a key of an operator.
    Operator {
        /// The name of the operator's key.
        name: String,
    },
}

/// Work that the caller may submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmittedWork {
    /// The team whose limits the work counts against.
    pub team: TeamName,
    /// The settings of the queue.
    pub queue: QueueConfig,
}

/// Checks callers against one version of the configuration.
pub struct AdmissionCheck<'a> {
    /// The configuration in force.
    pub config: &'a FleetConfig,
    /// Whether the configuration is known to be recent enough to accept keys of
    /// teams.
    pub accepts_keyed_work: bool,
    /// The keys of the operators.
    pub operators: &'a [OperatorKey],
    /// The delay after which a refused caller is told to retry.
    pub retry_after: MilliSpan,
}

impl AdmissionCheck<'_> {
    /// Identifies the caller by the key in the authorization header.
    ///
    /// Every digest is compared, each in constant time, so that the response
    /// time reveals nothing about the keys. Without a current configuration no
    /// key of a team is accepted, since it may have been withdrawn.
    ///
    /// # Errors
    /// Refuses a malformed authorization header, an unknown key, and any key of
    /// a team while the configuration may be out of date.
    pub fn identify(&self, headers: &HeaderMap) -> Result<CallerIdentity, Refusal> {
        let Some(secret) = bearer_secret(headers)? else {
            return Ok(CallerIdentity::Anonymous);
        };
        let digest = KeyDigest::of(secret);
        let mut found = None;
        for operator in self.operators {
            if operator.digest.matches(&digest) {
                let name = operator.name.clone();
                found = Some(CallerIdentity::Operator { name });
            }
        }
        if found.is_none() && !self.accepts_keyed_work {
            return Err(self.stale_configuration());
        }
        for (key, config) in &self.config.keys {
            if config.digest.matches(&digest) && found.is_none() {
                found = Some(CallerIdentity::Team {
                    key: key.clone(),
                    team: config.team.clone(),
                });
            }
        }
        found.ok_or_else(unknown_key)
    }

    /// Decides whether a caller may submit work to a queue, and for which team.
    ///
    /// # Errors
    /// Refuses an unknown queue, work without a key unless the queue is open,
    /// work for a team other than the key's, and work of a team that the queue
    /// does not accept.
    pub fn admit(
        &self,
        caller: &CallerIdentity,
        queue: &QueueName,
        requested: Option<&TeamName>,
    ) -> Result<AdmittedWork, Refusal> {
        let Some(config) = self.config.queues.get(queue) else {
            return Err(self.unknown_queue(queue));
        };
        let team = match caller {
            CallerIdentity::Operator { .. } => return Err(operator_key_for_work()),
            CallerIdentity::Team { team, .. } => keyed_team(team, requested)?,
            CallerIdentity::Anonymous => open_team(queue, config, requested)?,
        };
        if !config.teams.contains(team) {
            let error = format!("queue {queue} takes no work of team {team}");
            let hint = "choose another queue, or ask the operators to add the team";
            return Err(Refusal::new(RefusalCode::Forbidden, error, hint));
        }
        Ok(AdmittedWork {
            team: team.clone(),
            queue: config.clone(),
        })
    }

    fn unknown_queue(&self, queue: &QueueName) -> Refusal {
        if !self.accepts_keyed_work {
            return self.stale_configuration();
        }
        let error = format!("queue {queue} does not exist");
        Refusal::new(RefusalCode::UnknownQueue, error, "check the queue name")
    }

    fn stale_configuration(&self) -> Refusal {
        let error = "the host does not know whether its configuration is current";
        let hint = "try again, another host may know";
        Refusal::new(RefusalCode::StaleConfiguration, error, hint)
            .with_retry_after(self.retry_after)
    }
}

fn keyed_team<'a>(
    team: &'a TeamName,
    requested: Option<&TeamName>,
) -> Result<&'a TeamName, Refusal> {
    match requested {
        Some(requested) if requested != team => {
            let error = format!("the key is not one of team {requested}");
            let hint = "present a key of the team that the work names";
            Err(Refusal::new(RefusalCode::Forbidden, error, hint))
        }
        _ => Ok(team),
    }
}

/// Returns the team of work without a key: the first team of an open queue.
fn open_team<'a>(
    queue: &QueueName,
    config: &'a QueueConfig,
    requested: Option<&TeamName>,
) -> Result<&'a TeamName, Refusal> {
    let needs_key = || {
        let error = format!("queue {queue} takes this work only with a key");
        unauthenticated(error)
    };
    let first = config.teams.first().ok_or_else(needs_key)?;
    let of_other = requested.is_some_and(|requested| requested != first);
    if !config.open || of_other {
        return Err(needs_key());
    }
    Ok(first)
}

fn operator_key_for_work() -> Refusal {
    let error = "a key of an operator does not hand in work";
    Refusal::new(RefusalCode::Forbidden, error, "present a key of the team")
}

fn unknown_key() -> Refusal {
    unauthenticated("the key is unknown or withdrawn".to_owned())
}

fn unauthenticated(error: String) -> Refusal {
    let hint = "send a valid key as `authorization: Bearer SECRET`";
    Refusal::new(RefusalCode::Unauthenticated, error, hint)
}

/// Returns the secret of the authorization header, or `None` without the
/// header.
pub(crate) fn bearer_secret(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let malformed = || unauthenticated("the authorization header is malformed".to_owned());
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(malformed());
    }
    let text = value.to_str().map_err(|_| malformed())?;
    let (scheme, secret) = text.split_once(' ').ok_or_else(malformed)?;
    let secret = secret.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || secret.is_empty() {
        return Err(malformed());
    }
    Ok(Some(secret))
}
