/** The weights of a model, and a stand-in for their origin. */
/* eslint camelcase: "off" -- wire formats use their own spelling */
import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import http from 'node:http';
import {sendJson} from './store.mjs';

export const chunks = 96;
export const chunkBytes = 24_576;

/** Returns the bytes of a piece, which differ between versions. */
export function pieceOf(version, number) {
	return Buffer.alloc(chunkBytes, createHash('sha256').update(`${version}/${number}`).digest());
}

export function digestOf(bytes) {
	return createHash('sha256').update(bytes).digest('hex');
}

/** The digests of a version, as they are. */
export function digestsOf(version) {
	return Array.from({length: chunks}, (_, number) => digestOf(pieceOf(version, number)));
}

/** Serves manifests and pieces. `spoil` may change the digests of an answer. */
export class Origin {
	manifestReads = 0;
	pieceReads = 0;

	constructor({spoil = digests => digests} = {}) {
		this.server = http.createServer((req, res) => {
			const {pathname, searchParams} = new URL(req.url, 'http://origin');
			const version = Number(searchParams.get('version'));
			const model = pathname.split('/').at(-1);
			if (pathname.startsWith('/v1/manifest/')) {
				this.manifestReads++;
				const digests = spoil(digestsOf(version), version, this.manifestReads);
				sendJson(res, 200, {
					model, version, chunk_bytes: chunkBytes, layers: 16, digests,
				});
			} else {
				this.pieceReads++;
				const bytes = pieceOf(version, Number(searchParams.get('number')));
				res.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': bytes.length});
				res.end(bytes);
			}
		});
	}

	async start(host) {
		await new Promise(resolve => {
			this.server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.server.address().port}`;
	}

	close() {
		this.server.close();
		this.server.closeAllConnections();
	}
}
