//! HTTP client for the API of an entry host.

use std::fs;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimentochute_server::Refusal;
use pimentochute_server::settings::HostPort;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::exit::CliError;
use crate::flags::CommonFlags;

/// The environment variable that holds the API key if no key file is given.
const KEY_VARIABLE: &str = "PIMENTOCHUTE_KEY";

/// The time limit for opening a connection to the host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// The default time limit of a call. Hosts wait up to 5 s for the log by
/// default.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Calls one entry host with the caller's key.
pub struct ApiClient {
    client: Client<HttpConnector, Full<Bytes>>,
    server: HostPort,
    key: Option<String>,
}

/// An HTTP request to an entry host.
pub struct ApiCall<'a> {
    /// The HTTP method; every method except `GET` may change something.
    pub method: Method,
    /// The path, with the query if there is one.
    pub path: &'a str,
    /// Headers in addition to the content type and the key.
    pub headers: HeaderMap,
    /// The body, usually JSON.
    pub body: Bytes,
    /// The time limit for the complete response.
    pub timeout: Duration,
}

/// A response whose body has been read completely.
pub struct ApiResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl ApiClient {
    /// Creates a client for `--server`, with the key from `--key-file` or the
    /// environment.
    pub fn new(flags: &CommonFlags) -> Result<Self, CliError> {
        let server = flags.server.as_deref().ok_or_else(|| {
            CliError::usage("--server is missing", "give the address of an entry host")
        })?;
        let server = server.strip_prefix("http://").unwrap_or(server);
        let server = HostPort::new(server.trim_end_matches('/'))
            .map_err(|error| CliError::usage(error.to_string(), "give --server HOST:PORT"))?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Ok(Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            server,
            key: read_key(flags)?,
        })
    }

    /// Fetches a JSON value.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.call_json(Method::GET, path, Bytes::new()).await
    }

    /// Posts a value as JSON and decodes the JSON response.
    pub async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        value: &Q,
    ) -> Result<T, CliError> {
        self.call_json(Method::POST, path, json_bytes(value)?).await
    }

    /// Sends a request and decodes the JSON response. A status other than 200
    /// becomes an error.
    pub async fn call_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CliError> {
        let mutating = method != Method::GET;
        let headers = HeaderMap::new();
        let timeout = CALL_TIMEOUT;
        let call = ApiCall {
            method,
            path,
            headers,
            body,
            timeout,
        };
        let response = self.call(call).await?;
        if response.status != StatusCode::OK {
            return Err(self.refusal_error(&response, mutating));
        }
        serde_json::from_slice(&response.body)
            .map_err(|error| self.unusable_response(&error, mutating))
    }

    /// Sends a request and reads the complete response.
    pub async fn call(&self, call: ApiCall<'_>) -> Result<ApiResponse, CliError> {
        let mutating = call.method != Method::GET;
        let call_timeout = call.timeout;
        let exchange = self.exchange(call, mutating);
        match timeout(call_timeout, exchange).await {
            Ok(response) => response,
            Err(_) => {
                Err(self.unusable_response(&format!("no answer within {call_timeout:?}"), mutating))
            }
        }
    }

    async fn exchange(&self, call: ApiCall<'_>, mutating: bool) -> Result<ApiResponse, CliError> {
        let request = self.request(call)?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CliError::Unreachable {
                    server: self.server.to_string(),
                    detail: root_cause(&error),
                }
            } else {
                self.unusable_response(&root_cause(&error), mutating)
            }
        })?;
        let (status, headers) = (response.status(), response.headers().clone());
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| self.unusable_response(&error, mutating))?;
        let body = body.to_bytes();
        Ok(ApiResponse {
            status,
            headers,
            body,
        })
    }

    fn request(&self, call: ApiCall<'_>) -> Result<Request<Full<Bytes>>, CliError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.server, call.path))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(|error| CliError::usage(error.to_string(), "check the arguments"))?;
        request.headers_mut().extend(call.headers);
        if let Some(key) = &self.key {
            let bearer = HeaderValue::from_str(&format!("Bearer {key}"));
            let mut bearer = bearer.map_err(|_| {
                let detail = "the key contains characters that cannot be sent in a header";
                CliError::usage(detail, "check --key-file or PIMENTOCHUTE_KEY")
            })?;
            bearer.set_sensitive(true);
            request.headers_mut().insert(AUTHORIZATION, bearer);
        }
        Ok(request)
    }

    /// Turns an error response into an error: the refusal in its body, or
    /// [`CliError::UnusableResponse`] if the body holds none.
    pub fn refusal_error(&self, response: &ApiResponse, mutating: bool) -> CliError {
        match serde_json::from_slice::<Refusal>(&response.body) {
            Ok(source) => CliError::Refused { source },
            Err(_) => self.unusable_response(&format!("status {}", response.status), mutating),
        }
    }

    fn unusable_response(&self, detail: &dyn ToString, mutating: bool) -> CliError {
        CliError::UnusableResponse {
            server: self.server.to_string(),
            detail: detail.to_string(),
            mutating,
        }
    }
}

/// Encodes a value as JSON.
pub fn json_bytes<T: Serialize>(value: &T) -> Result<Bytes, CliError> {
    let bytes = serde_json::to_vec(value).map_err(|error| CliError::System {
        what: "writing JSON",
        detail: error.to_string(),
    })?;
    Ok(Bytes::from(bytes))
}

/// Returns the key from the key file or else from the environment.
fn read_key(flags: &CommonFlags) -> Result<Option<String>, CliError> {
    let text = match &flags.key_file {
        Some(path) => {
            Some(
                fs::read_to_string(path).map_err(|source| CliError::UnreadableFile {
                    path: path.clone(),
                    source,
                })?,
            )
        }
        None => std::env::var(KEY_VARIABLE).ok(),
    };
    match text.map(|text| text.trim().to_owned()) {
        Some(key) if key.is_empty() => {
            let hint = "write the secret into --key-file or PIMENTOCHUTE_KEY";
            Err(CliError::usage("the key is empty", hint))
        }
        key => Ok(key),
    }
}

/// Returns the message of the innermost error; the outer ones only say
/// "client error".
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
