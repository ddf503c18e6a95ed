import { KindError } from '@clementineloft/kernel'

/** An error that a sidecar gave as its answer, as against one of the connection to it. */
export class SidecarError extends KindError {}
