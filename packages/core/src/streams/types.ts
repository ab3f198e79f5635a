/** Service and software version at which a stream began. It may go on only there. */
export type StreamOrigin = {
	readonly service: string;
	/** Empty if the server that began the stream does not say. */
	readonly softwareVersion: string;
};

/** What an entry knows of a stream that a caller resumes. */
export type StreamKnowledge = {
	/** Undefined if the entry does not know the stream. */
	readonly origin: StreamOrigin | undefined;
	/** The only software version of the service for as long as a stream may last; undefined if there were others. */
	readonly onlyVersion: string | undefined;
};

/** Where a stream that a caller resumes may go on. */
export type Resumption =
	| {
			readonly kind: 'known';
			readonly origin: StreamOrigin;
			/** Why the origin is known: an entry has recorded it, or there was only one software version, or none is said. */
			readonly by: 'record' | 'onlyVersion' | 'unversioned';
	  }
	| {readonly kind: 'unknown'};
