#pragma once

#include "anvildoor/Error.h"

#include <grpcpp/grpcpp.h>
#include <memory>
#include <string>

namespace anvildoor {

/** How entry VMs prove themselves to each other. */
struct peer_security
{
  std::string mSecret;
  std::string mCertificate; ///< PEM; empty with the next two: plain TCP.
  std::string mKey;
  std::string mAuthority;

  auto operator<=>(const peer_security&) const = default;
};

/**
 * Reads the PEM files that are named (all three or none); kNotFound names one that
 * cannot be read. Thread-safe.
 */
result<peer_security> LoadPeerSecurity(const std::string& aSecret,
                                       const std::string& aCertificateFile,
                                       const std::string& aKeyFile,
                                       const std::string& aAuthorityFile);

/** Returns the credentials of calls; with TLS both sides show certificates. */
std::shared_ptr<grpc::ChannelCredentials> ChannelCredentialsFor(
  const peer_security& aSecurity);

/** Returns the credentials of the server. */
std::shared_ptr<grpc::ServerCredentials> ServerCredentialsFor(
  const peer_security& aSecurity);

/** The name that every entry VM's certificate carries, since VMs have only numbers. */
constexpr const char* kPeerCertificateName = "anvildoor-peer";

} // namespace anvildoor
