//! Handlers for jobs: submission, state and cancellation.

use http::{Request, Response, StatusCode};
use pimentochute_base::{JobId, TeamName, WorkKind};
use pimentochute_state::JobSpec;
use viz::{Body, RequestExt as _};

use super::{PublicRoutes, decode_json, needs_key};
use crate::admission::{AdmittedWork, CallerIdentity};
use crate::api::{JobSubmission, JobView};
use crate::http_server::json_response;
use crate::refusal::{Refusal, RefusalCode};

impl PublicRoutes {
    /// `POST /v1/jobs`
    pub(super) async fn submit_job(
        &self,
        request: &mut Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let body = self.bodies.read(request).await?;
        let submission: JobSubmission = decode_json(&body.content)?;
        match self.submit(request, &submission).await {
            Ok(view) => Ok(json_response(StatusCode::OK, &view)),
            Err(refusal) if self.repeats_known_job(&submission, refusal.code) => {
                Err(refusal.with_possible_run())
            }
            Err(refusal) => Err(refusal),
        }
    }

    async fn submit(
        &self,
        request: &Request<Body>,
        submission: &JobSubmission,
    ) -> Result<JobView, Refusal> {
        let config = self.config();
        let check = self.admission_check(&config);
        let caller = check.identify(request.headers())?;
        let work = check.admit(&caller, &submission.queue, submission.team.as_ref())?;
        let spec = self.job_spec(submission, work)?;
        let (id, team) = (spec.id, spec.team.clone());
        match self.dependencies.control.submit(spec).await {
            Ok(view) => {
                log::info!("http: job {id} of team {team} is recorded");
                Ok(view)
            }
            Err(error) => {
                log::info!("http: submission of job {id} of team {team} failed: {error}");
                let retry_after = self.settings.http.retry_after_ms;
                Err(Refusal::from_submit_error(&error, retry_after))
            }
        }
    }

    /// Returns whether an earlier call with the same idempotency key recorded,
    /// or may have recorded, its job. A refusal of the repeated call must then
    /// not claim that the work did not run.
    ///
    /// Always false for a missing or wrong key, so that the refusal reveals
    /// nothing about the jobs of a team, and for a conflict, which concerns a
    /// different job.
    fn repeats_known_job(&self, submission: &JobSubmission, code: RefusalCode) -> bool {
        if matches!(
            code,
            RefusalCode::Unauthenticated | RefusalCode::Forbidden | RefusalCode::Conflict
        ) {
            return false;
        }
        if !self.dependencies.control.has_read_jobs() {
            // The log may hold the job although this host has not read it yet.
            return true;
        }
        let config = self.config();
        let teams = match &submission.team {
            Some(team) => vec![team],
            None => config.teams.keys().collect(),
        };
        let mut ids = teams
            .into_iter()
            .map(|team| JobId::new(team, &submission.idempotency_key));
        ids.any(|id| self.dependencies.control.job(id).is_some())
    }

    fn job_spec(&self, submission: &JobSubmission, work: AdmittedWork) -> Result<JobSpec, Refusal> {
        self.check_submission(submission, &work)?;
        Ok(JobSpec {
            id: JobId::new(&work.team, &submission.idempotency_key),
            team: work.team,
            queue: submission.queue.clone(),
            key: submission.idempotency_key.clone(),
            kind: work.queue.kind,
            priority: work.queue.priority,
            tasks: submission.tasks,
            demand: submission.demand,
            command: submission.command.clone(),
            expected_run: submission.expected_run_ms,
            finish_by: submission.finish_by_ms,
            max_attempts: self.settings.workers.max_attempts,
        })
    }

    fn check_submission(
        &self,
        submission: &JobSubmission,
        work: &AdmittedWork,
    ) -> Result<(), Refusal> {
        let limits = &self.settings.jobs;
        let command_bytes = u32::try_from(submission.command.len()).unwrap_or(u32::MAX);
        let demand = &submission.demand;
        if work.queue.kind == WorkKind::Request {
            let error = format!("queue {} takes requests, not jobs", submission.queue);
            Err(Refusal::invalid(error, "send it with POST /v1/requests"))
        } else if !(1..=limits.max_tasks).contains(&submission.tasks) {
            let error = format!("a job cannot have {} tasks", submission.tasks);
            let hint = format!("give 1 to {}", limits.max_tasks);
            Err(Refusal::invalid(error, hint))
        } else if command_bytes > limits.max_command_bytes {
            let error = format!("the command has {command_bytes} bytes");
            let hint = format!("give at most {}", limits.max_command_bytes);
            Err(Refusal::new(RefusalCode::TooLarge, error, hint))
        } else if demand.cpu_millis == 0 || demand.memory_mib == 0 {
            let error = "a task needs processor time and memory";
            let hint = "give a demand with cpu_millis and memory_mib above zero";
            Err(Refusal::invalid(error, hint))
        } else {
            Ok(())
        }
    }

    /// `GET /v1/jobs[?team=]`
    pub(super) fn list_jobs(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let requested = query_value(request, "team")?;
        let requested: Option<TeamName> = requested
            .map(|text| text.parse())
            .transpose()
            .map_err(|error| Refusal::invalid(format!("{error}"), "check the team name"))?;
        let team = match self.visible_team(request)? {
            None => requested,
            Some(own) if requested.as_ref().is_none_or(|requested| *requested == own) => Some(own),
            Some(_) => {
                let error = "a team sees only its own jobs";
                let hint = "leave the team out, or present a key of that team";
                return Err(Refusal::new(RefusalCode::Forbidden, error, hint));
            }
        };
        self.require_loaded_jobs()?;
        let jobs = self.dependencies.control.jobs(team.as_ref());
        Ok(json_response(StatusCode::OK, &jobs))
    }

    /// `GET /v1/jobs/{id}`
    pub(super) fn show_job(&self, request: &Request<Body>) -> Result<Response<Body>, Refusal> {
        let job = self.visible_job(request)?;
        Ok(json_response(StatusCode::OK, &job))
    }

    /// `DELETE /v1/jobs/{id}`
    pub(super) async fn cancel_job(
        &self,
        request: &mut Request<Body>,
    ) -> Result<Response<Body>, Refusal> {
        let job = self.visible_job(request)?.id;
        match self.dependencies.control.cancel(job).await {
            Ok(Some(view)) => {
                log::info!(
                    "http: the cancellation of job {job} of team {} is recorded",
                    view.team
                );
                Ok(json_response(StatusCode::OK, &view))
            }
            Ok(None) => Err(unknown_job(job)),
            Err(error) => {
                let retry_after = self.settings.http.retry_after_ms;
                // The caller must not read `not_run: true` as "the job did not
                // run", so it is set to false.
                Err(Refusal::from_submit_error(&error, retry_after).with_possible_run())
            }
        }
    }

    /// Returns the job named in the path if the caller may see it. A job of
    /// another team is reported as not found.
    fn visible_job(&self, request: &Request<Body>) -> Result<JobView, Refusal> {
        let reader = self.visible_team(request)?;
        let text: String = request.param("id").unwrap_or_default();
        let id: JobId = text
            .parse()
            .map_err(|_| Refusal::invalid("the job id is wrong", "give 32 hexadecimal digits"))?;
        self.require_loaded_jobs()?;
        let job = self.dependencies.control.job(id);
        let visible = job.filter(|job| reader.is_none_or(|team| team == job.team));
        visible.ok_or_else(|| unknown_job(id))
    }

    /// Refuses the call until this host has read the jobs from the log: before
    /// that, it would report recorded jobs as not found.
    fn require_loaded_jobs(&self) -> Result<(), Refusal> {
        if self.dependencies.control.has_read_jobs() {
            return Ok(());
        }
        let error = "this host has not read the jobs yet";
        let hint = "try again, or ask another host of the data centre";
        let refusal = Refusal::new(RefusalCode::LogUnavailable, error, hint);
        let retry_after = self.settings.http.retry_after_ms;
        Err(refusal.with_possible_run().with_retry_after(retry_after))
    }

    /// Returns the team whose jobs the caller may see, or `None` for an operator,
    /// who may see all jobs.
    fn visible_team(&self, request: &Request<Body>) -> Result<Option<TeamName>, Refusal> {
        let config = self.config();
        match self.admission_check(&config).identify(request.headers())? {
            CallerIdentity::Team { team, .. } => Ok(Some(team)),
            CallerIdentity::Operator { .. } => Ok(None),
            CallerIdentity::Anonymous => Err(needs_key("a key of the job's team")),
        }
    }
}

fn unknown_job(id: JobId) -> Refusal {
    let error = format!("job {id} is not known here");
    let hint = "check the id and the key; the hosts of the job's data centre know it";
    Refusal::not_found(error, hint).with_possible_run()
}

/// Returns the value of a query parameter. Any other parameter is refused, so
/// that a misspelt filter is not silently ignored.
pub(super) fn query_value(request: &Request<Body>, name: &str) -> Result<Option<String>, Refusal> {
    let bad = |error: String| {
        let hint = format!("the page takes ?{name}=");
        Refusal::invalid(error, hint)
    };
    let pairs: Vec<(String, String)> = request
        .query()
        .map_err(|_| bad("the query is malformed".to_owned()))?;
    let mut found = None;
    for (key, value) in pairs {
        if key != name {
            return Err(bad(format!("the query parameter {key:?} is unknown")));
        }
        found = Some(value);
    }
    Ok(found)
}
