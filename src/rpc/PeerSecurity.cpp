#include "rpc/PeerSecurity.h"

#include <fstream>
#include <sstream>

namespace anvildoor {

namespace {

result<std::string> ReadPem(const std::string& aFile)
{
  std::ifstream stream(aFile);
  if (!stream) {
    return Fail(error_code::kNotFound, "tls", aFile, "the file cannot be read");
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

} // namespace

result<peer_security> LoadPeerSecurity(const std::string& aSecret,
                                       const std::string& aCertificateFile,
                                       const std::string& aKeyFile,
                                       const std::string& aAuthorityFile)
{
  peer_security security;
  security.mSecret = aSecret;
  if (aCertificateFile.empty()) {
    return security;
  }
  const auto certificate = ReadPem(aCertificateFile);
  const auto key = ReadPem(aKeyFile);
  const auto authority = ReadPem(aAuthorityFile);
  for (const auto* read : { &certificate, &key, &authority }) {
    if (!*read) {
      return tl::unexpected<error>(read->error());
    }
  }
  security.mCertificate = *certificate;
  security.mKey = *key;
  security.mAuthority = *authority;
  return security;
}

std::shared_ptr<grpc::ChannelCredentials> ChannelCredentialsFor(
  const peer_security& aSecurity)
{
  if (aSecurity.mCertificate.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = aSecurity.mAuthority;
  options.pem_private_key = aSecurity.mKey;
  options.pem_cert_chain = aSecurity.mCertificate;
  return grpc::SslCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> ServerCredentialsFor(
  const peer_security& aSecurity)
{
  if (aSecurity.mCertificate.empty()) {
    return grpc::InsecureServerCredentials();
  }
  grpc::SslServerCredentialsOptions options(
    GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = aSecurity.mAuthority;
  options.pem_key_cert_pairs.push_back({ aSecurity.mKey, aSecurity.mCertificate });
  return grpc::SslServerCredentials(options);
}

} // namespace anvildoor
