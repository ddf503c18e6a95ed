/**
 * Credentials between processes: mutual TLS with files that are reread periodically, so that renewed certificates take
 * effect without a restart, or plain text.
 */
import { credentials, experimental, ServerCredentials } from '@grpc/grpc-js'
import type { ChannelCredentials } from '@grpc/grpc-js'
import type { CommonSettings } from '../settings/settings-schema.js'

const refreshIntervalMs = 10_000

type TlsSettings = CommonSettings['tls']

const createProvider = (tls: NonNullable<TlsSettings>): experimental.CertificateProvider =>
  new experimental.FileWatcherCertificateProvider({
    caCertificateFile: tls.ca_file,
    certificateFile: tls.cert_file,
    privateKeyFile: tls.key_file,
    refreshIntervalMs
  })

/**
 * @param tls - TLS settings; `undefined` for plain text
 * @returns client credentials for calls to other processes
 */
export const createChannelCredentials = (tls?: TlsSettings): ChannelCredentials => {
  if (tls === undefined) return credentials.createInsecure()
  const provider = createProvider(tls)
  return experimental.createCertificateProviderChannelCredentials(provider, provider)
}

/**
 * @param tls - TLS settings; `undefined` for plain text
 * @returns server credentials, which require a client certificate signed by the same authority
 */
export const createServerCredentials = (tls: TlsSettings): ServerCredentials => {
  if (tls === undefined) return ServerCredentials.createInsecure()
  const provider = createProvider(tls)
  return experimental.createCertificateProviderServerCredentials(provider, provider, true)
}
