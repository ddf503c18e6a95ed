/**
 * Credentials between processes: mutual TLS from files that are read again when they change, or plain text.
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
 * @param tls - settings of TLS; `undefined` for plain text
 * @returns credentials towards other processes
 */
export const createChannelCredentials = (tls?: TlsSettings): ChannelCredentials => {
  if (tls === undefined) return credentials.createInsecure()
  const provider = createProvider(tls)
  return experimental.createCertificateProviderChannelCredentials(provider, provider)
}

/**
 * @param tls - settings of TLS; `undefined` for plain text
 * @returns credentials towards callers from other processes, who must show a certificate of the same authority
 */
export const createServerCredentials = (tls: TlsSettings): ServerCredentials => {
  if (tls === undefined) return ServerCredentials.createInsecure()
  const provider = createProvider(tls)
  return experimental.createCertificateProviderServerCredentials(provider, provider, true)
}
