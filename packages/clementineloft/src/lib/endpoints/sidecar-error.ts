import { KindError } from '@clementineloft/kernel'

/** An error that a sidecar returned as its answer, as opposed to an error of the connection to it. */
export class SidecarError extends KindError {}
