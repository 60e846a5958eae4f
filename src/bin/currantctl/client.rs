//! HTTP client of the administration API.

use std::time::Duration;

use currantlb::admin::error::ErrorBody;
use currantlb::admin::model::Versioned;
use reqwest::{Certificate, Client as Http, Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::{OptionExt, ResultExt};

use crate::app::App;
use crate::error::{
    CertificateSnafu, ClientSnafu, InvalidResponseSnafu, NoRevisionSnafu, NoTokenSnafu,
    OutcomeUnknownSnafu, ReadFileSnafu, RefusedSnafu, Result, UnreachableSnafu,
};

/// Environment variable with the operator's token.
const TOKEN_VARIABLE: &str = "CURRANTLB_TOKEN";

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of times that a write with an unknown outcome is sent again.
const WRITE_REPEATS: usize = 3;

/// Client of the API of one VM.
#[derive(Debug)]
pub(crate) struct Client {
    http: Http,
    url: String,
    token: String,
    operation_id: Option<String>,
    expect: Option<u64>,
}

impl Client {
    /// Builds a client from the options of the command line.
    pub(crate) fn new(app: &App) -> Result<Self> {
        let mut builder = Http::builder().timeout(REQUEST_TIMEOUT);
        if let Some(path) = &app.ca_file {
            let pem = std::fs::read(path).context(ReadFileSnafu { path })?;
            let certificate = Certificate::from_pem(&pem).context(CertificateSnafu { path })?;
            builder = builder.add_root_certificate(certificate);
        }
        let token = match &app.token_file {
            Some(path) => std::fs::read_to_string(path).context(ReadFileSnafu { path })?,
            None => std::env::var(TOKEN_VARIABLE).ok().context(NoTokenSnafu)?,
        };
        Ok(Self {
            http: builder.build().context(ClientSnafu)?,
            url: app.url.trim_end_matches('/').to_owned(),
            token: token.trim().to_owned(),
            operation_id: app.operation_id.clone(),
            expect: app.expect,
        })
    }

    /// Reads a resource.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let request = self.http.get(self.address(path)).bearer_auth(&self.token);
        let sent = request.send().await;
        read(sent.context(UnreachableSnafu { url: &self.url })?).await
    }

    /// Posts a body to an endpoint that changes nothing.
    pub(crate) async fn post_read_only<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<T> {
        let request = self
            .http
            .post(self.address(path))
            .bearer_auth(&self.token)
            .json(body);
        let sent = request.send().await;
        read(sent.context(UnreachableSnafu { url: &self.url })?).await
    }

    /// Returns the revision that a write to `record` must expect: the one given on the command
    /// line, or else the current one, which is 0 when the record does not exist.
    async fn expected(&self, record: &str) -> Result<u64> {
        if let Some(expect) = self.expect {
            return Ok(expect);
        }
        let request = self.http.get(self.address(record)).bearer_auth(&self.token);
        let response = request
            .send()
            .await
            .context(UnreachableSnafu { url: &self.url })?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(0);
        }
        let found: Versioned<Value> = read(response).await?;
        found.revision.context(NoRevisionSnafu)
    }

    /// Writes to `path`, expecting the revision of `record`. While the outcome is unknown, sends
    /// the write again with the same operation id, up to [`WRITE_REPEATS`] times.
    pub(crate) async fn write<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        record: &str,
        body: Option<Value>,
    ) -> Result<T> {
        let expected = self.expected(record).await?;
        let operation = self.operation_id.clone().unwrap_or_else(new_operation_id);
        for _ in 0..=WRITE_REPEATS {
            let mut request = self
                .http
                .request(method.clone(), self.address(path))
                .bearer_auth(&self.token)
                .header("Operation-Id", &operation)
                .header("If-Match", expected.to_string());
            if let Some(body) = &body {
                request = request.json(body);
            }
            match request.send().await {
                Ok(response) if response.status() == StatusCode::GATEWAY_TIMEOUT => {}
                Ok(response) => return read(response).await,
                Err(error) if error.is_connect() => {
                    return Err(error).context(UnreachableSnafu { url: &self.url });
                }
                Err(_no_response) => {}
            }
        }
        OutcomeUnknownSnafu {
            operation,
            expected,
        }
        .fail()
    }

    fn address(&self, path: &str) -> String {
        format!("{}{path}", self.url)
    }
}

fn new_operation_id() -> String {
    format!("currantctl-{:032x}", rand::random::<u128>())
}

async fn read<T: DeserializeOwned>(response: Response) -> Result<T> {
    if response.status().is_success() {
        return response.json().await.context(InvalidResponseSnafu);
    }
    let status = response.status();
    let text = response.text().await.unwrap_or_default();
    let body = serde_json::from_str(&text).unwrap_or_else(|_| ErrorBody {
        error: format!("{status}: {text}"),
        revision: None,
        findings: Vec::new(),
    });
    RefusedSnafu { body }.fail()
}
