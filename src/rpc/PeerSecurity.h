#pragma once

#include "anvildoor/Error.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace anvildoor {

/** Credentials with which entry VMs authenticate each other. */
struct peer_security
{
  std::string mSecret;
  std::string mCertificate; ///< PEM; plain TCP if this and the next two are empty.
  std::string mKey;
  std::string mAuthority;

  auto operator<=>(const peer_security&) const = default;
};

/**
 * Reads the three PEM files, or none if aCertificateFile is empty; kNotFound names the
 * first one that cannot be read. Thread-safe.
 */
result<peer_security> LoadPeerSecurity(const std::string& aSecret,
                                       const std::string& aCertificateFile,
                                       const std::string& aKeyFile,
                                       const std::string& aAuthorityFile);

/** Returns the credentials of a client. With TLS both sides present certificates. */
std::shared_ptr<grpc::ChannelCredentials> ChannelCredentialsFor(
  const peer_security& aSecurity);

/** Returns the credentials of a server. */
std::shared_ptr<grpc::ServerCredentials> ServerCredentialsFor(
  const peer_security& aSecurity);

/** Name in the certificates of all entry VMs, which have IP addresses but no names. */
constexpr const char* kPeerCertificateName = "anvildoor-peer";

} // namespace anvildoor
