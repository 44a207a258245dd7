//! Identities of the Faktory front: TLS with X.509-SVIDs (certificates that carry a SPIFFE ID), as the SPIFFE
//! ID and X509-SVID specifications define them. Holds the program's own SVID and one trust bundle for each
//! trust domain, reloads them when their files change, and identifies peers by SPIFFE ID. A peer's ID is its
//! only URI SAN, and a bundle verifies peers of its own trust domain only. What an identity may do is decided
//! in `faktory`.

use rustls::DigitallySignedStruct;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use rustls::{CertificateError, DistinguishedName, Error, RootCertStore, ServerConfig};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, RwLock};
use x509_parser::prelude::{FromDer, GeneralName, ParsedExtension, X509Certificate};

/// The files that identities are loaded from.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Files {
    /// The program's own SVID and its intermediate certificates, in PEM.
    pub svid: PathBuf,
    /// The private key of the SVID, in PEM.
    pub key: PathBuf,
    /// The trust bundle of each trust domain whose peers may connect.
    pub bundle: Vec<Bundle>,
    /// Seconds between checks for changed files.
    #[serde(default = "default_reload_s")]
    pub reload_s: f64,
}

fn default_reload_s() -> f64 {
    5.0
}

/// The trust bundle of one trust domain.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    pub trust_domain: String,
    pub file: PathBuf,
}

/// A well-formed SPIFFE ID.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpiffeId {
    text: String,
    domain_len: usize,
}

impl SpiffeId {
    /// Parses an ID.
    pub fn parse(text: &str) -> Result<SpiffeId, String> {
        let invalid = |part: &str| Err(format!("{text:?} is no SPIFFE ID: {part}"));
        if text.len() > 2048 {
            return Err("a SPIFFE ID is longer than 2048 bytes".to_owned());
        }
        let Some(rest) = text.strip_prefix("spiffe://") else { return invalid("its scheme") };
        let (domain, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let domain_byte = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
        if domain.is_empty() || domain.len() > 255 || !domain.bytes().all(domain_byte) {
            return invalid("its trust domain");
        }
        let path_byte = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
        let valid_segment =
            |segment: &str| !matches!(segment, "" | "." | "..") && segment.bytes().all(path_byte);
        if !path.is_empty() && !path[1..].split('/').all(valid_segment) {
            return invalid("its path");
        }
        Ok(SpiffeId { text: text.to_owned(), domain_len: domain.len() })
    }

    pub fn as_str(&self) -> &str {
        &self.text
    }

    pub fn trust_domain(&self) -> &str {
        &self.text["spiffe://".len()..][..self.domain_len]
    }
}

/// Returns the SPIFFE ID of a leaf certificate, which is its only URI SAN, after checking that the
/// certificate may be a leaf.
pub fn id_of(leaf: &CertificateDer<'_>) -> Result<SpiffeId, String> {
    let (rest, leaf) = X509Certificate::from_der(leaf).map_err(|e| format!("certificate: {e}"))?;
    if !rest.is_empty() {
        return Err("certificate: more follows it".to_owned());
    }
    let mut ids = Vec::new();
    for extension in leaf.extensions() {
        match extension.parsed_extension() {
            ParsedExtension::SubjectAlternativeName(names) => {
                ids.extend(names.general_names.iter().filter_map(|name| match name {
                    GeneralName::URI(uri) => Some(*uri),
                    _ => None,
                }));
            }
            ParsedExtension::BasicConstraints(constraints) if constraints.ca => {
                return Err("an SVID must not be a CA".to_owned());
            }
            ParsedExtension::KeyUsage(usage)
                if usage.key_cert_sign() || usage.crl_sign() || !usage.digital_signature() =>
            {
                return Err("the key usage of an SVID is not that of a leaf".to_owned());
            }
            _ => {}
        }
    }
    match ids.as_slice() {
        [id] => SpiffeId::parse(id),
        ids => Err(format!("an SVID has one URI SAN, this has {}", ids.len())),
    }
}

/// The identities loaded at the last read of the files.
struct Loaded {
    file_contents: Vec<Vec<u8>>,
    own_svid: Arc<CertifiedKey>,
    /// The verifier of each trust domain.
    verifiers: BTreeMap<String, Arc<dyn ClientCertVerifier>>,
}

/// The current identities, which can be reloaded.
pub struct Identities {
    files: Files,
    provider: Arc<CryptoProvider>,
    loaded: RwLock<Arc<Loaded>>,
}

impl std::fmt::Debug for Identities {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "identities from {}", self.files.svid.display())
    }
}

impl Identities {
    /// Loads the files.
    ///
    /// # Errors
    ///
    /// Names the key of the operator's file whose file is missing or invalid.
    pub fn load(files: Files) -> Result<Arc<Identities>, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let loaded = load(&files, &provider)?;
        Ok(Arc::new(Identities { files, provider, loaded: RwLock::new(Arc::new(loaded)) }))
    }

    /// Reloads the files, and returns whether they had changed. With an error the loaded identities stay.
    pub fn reload(&self) -> Result<bool, String> {
        if read_files(&self.files)? == self.current().file_contents {
            return Ok(false);
        }
        let loaded = Arc::new(load(&self.files, &self.provider)?);
        *self.loaded.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = loaded;
        Ok(true)
    }

    fn current(&self) -> Arc<Loaded> {
        self.loaded.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Returns the configuration of mutual TLS, in which both sides present an SVID.
    pub fn server_config(self: &Arc<Self>) -> Result<Arc<ServerConfig>, String> {
        let mut config = ServerConfig::builder_with_provider(self.provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?
            .with_client_cert_verifier(Arc::new(Verifier(self.clone())))
            .with_cert_resolver(Arc::new(OwnSvid(self.clone())));
        // Session resumption would skip the check of an SVID that has expired in the meantime.
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }
}

/// Reads the files: the SVID, the key and then the bundles.
fn read_files(files: &Files) -> Result<Vec<Vec<u8>>, String> {
    let bundles = files.bundle.iter().map(|bundle| ("tls.bundle.file", &bundle.file));
    let all = [("tls.svid", &files.svid), ("tls.key", &files.key)].into_iter().chain(bundles);
    all.map(|(key, path)| std::fs::read(path).map_err(|e| format!("{key}: {}: {e}", path.display())))
        .collect()
}

/// Reads and parses the files.
fn load(files: &Files, provider: &Arc<CryptoProvider>) -> Result<Loaded, String> {
    let file_contents = read_files(files)?;
    let certificates = |key: &str, text: &[u8]| -> Result<Vec<CertificateDer<'static>>, String> {
        let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
        all.ok().filter(|all| !all.is_empty()).ok_or_else(|| format!("{key}: holds no certificates in PEM"))
    };
    let chain = certificates("tls.svid", &file_contents[0])?;
    id_of(&chain[0]).map_err(|e| format!("tls.svid: {e}"))?;
    let key = PrivateKeyDer::from_pem_slice(&file_contents[1]).map_err(|e| format!("tls.key: {e}"))?;
    let own_svid = CertifiedKey::from_der(chain, key, provider).map_err(|e| format!("tls.key: {e}"))?;
    let mut verifiers = BTreeMap::new();
    for (bundle, text) in files.bundle.iter().zip(&file_contents[2..]) {
        let domain = bundle.trust_domain.clone();
        SpiffeId::parse(&format!("spiffe://{domain}"))
            .map_err(|e| format!("tls.bundle.trust_domain: {e}"))?;
        let mut roots = RootCertStore::empty();
        for root in certificates("tls.bundle.file", text)? {
            roots.add(root).map_err(|e| format!("tls.bundle.file: {domain}: {e}"))?;
        }
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
        let verifier = verifier.map_err(|e| format!("tls.bundle.file: {domain}: {e}"))?;
        if verifiers.insert(domain.clone(), verifier).is_some() {
            return Err(format!("tls.bundle.trust_domain: {domain} is there twice"));
        }
    }
    Ok(Loaded { file_contents, own_svid: Arc::new(own_svid), verifiers })
}

/// Presents the program's current SVID.
#[derive(Debug)]
struct OwnSvid(Arc<Identities>);

impl ResolvesServerCert for OwnSvid {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.current().own_svid.clone())
    }
}

/// Verifies a peer's SVID against the bundle of the trust domain that it names, and no other.
#[derive(Debug)]
struct Verifier(Arc<Identities>);

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        leaf: &CertificateDer<'_>,
        others: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        let refused = |reason: String| {
            log::warn!("peer refused: {reason}");
            Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
        };
        let id = id_of(leaf).map_err(refused)?;
        let verifier = self.0.current().verifiers.get(id.trust_domain()).cloned();
        let verifier = verifier.ok_or_else(|| refused(format!("{}: no such trust domain", id.as_str())))?;
        verifier.verify_client_cert(leaf, others, now).inspect_err(|e| {
            log::warn!("peer refused: {}: {e}", id.as_str());
        })
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls12_signature(message, cert, dss, &self.0.provider.signature_verification_algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature(message, cert, dss, &self.0.provider.signature_verification_algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.provider.signature_verification_algorithms.supported_schemes()
    }
}
